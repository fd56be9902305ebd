package org.bulrushtack.core.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class StartupGracePeriodTest : AnnotationSpec() {
    @Test
    fun `the grace period lasts for some syncs after registration`() {
        val testSubject = StartupGracePeriod(startedAtMillis = 0)
        testSubject.markRegistered(nowMillis = 100)

        testSubject.isOver(nowMillis = 300) shouldBe false
        testSubject.isOver(nowMillis = 700) shouldBe true
    }

    @Test
    fun `the grace period ends without a rank after its maximum`() {
        val testSubject = StartupGracePeriod(startedAtMillis = 0)

        testSubject.isOver(nowMillis = 1_900) shouldBe false
        testSubject.isOver(nowMillis = 2_000) shouldBe true
    }
}
