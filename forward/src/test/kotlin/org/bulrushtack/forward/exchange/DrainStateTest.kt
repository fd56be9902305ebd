package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class DrainStateTest : AnnotationSpec() {
    private fun drainState() = DrainState(graceMillis = { 8_000 })

    @Test
    fun `a daemon that isn't leaving takes requests and doesn't end`() {
        val testSubject = drainState()

        testSubject.refusesNew(nowMillis = 100_000) shouldBe false
        testSubject.mayEnd(nowMillis = 100_000) shouldBe false
        testSubject.mustEnd(nowMillis = 100_000) shouldBe false
    }

    @Test
    fun `callers that still know the address are served for a while after the signal`() {
        val testSubject = drainState()

        testSubject.start(nowMillis = 1_000)

        testSubject.refusesNew(nowMillis = 4_500) shouldBe false
        testSubject.mayEnd(nowMillis = 4_500) shouldBe false
        testSubject.refusesNew(nowMillis = 4_700) shouldBe true
        testSubject.mayEnd(nowMillis = 4_700) shouldBe true
    }

    @Test
    fun `the process ends before it is killed, and a second signal gives it no more time`() {
        val testSubject = drainState()

        testSubject.start(nowMillis = 0)
        testSubject.start(nowMillis = 7_000)

        testSubject.mustEnd(nowMillis = 7_600) shouldBe false
        testSubject.mustEnd(nowMillis = 7_800) shouldBe true
    }
}
