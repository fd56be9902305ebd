package org.bulrushtack.core.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class StartupGracePeriodTest : AnnotationSpec() {
    @Test
    fun `a daemon that has just its rank has not heard of the others yet`() {
        val testSubject = StartupGracePeriod(startedAtMillis = 0)
        testSubject.registered(nowMillis = 100)

        testSubject.isOver(nowMillis = 300) shouldBe false
        testSubject.isOver(nowMillis = 700) shouldBe true
    }

    @Test
    fun `a daemon that gets no rank goes on all the same`() {
        val testSubject = StartupGracePeriod(startedAtMillis = 0)

        testSubject.isOver(nowMillis = 1_900) shouldBe false
        testSubject.isOver(nowMillis = 2_000) shouldBe true
    }
}
