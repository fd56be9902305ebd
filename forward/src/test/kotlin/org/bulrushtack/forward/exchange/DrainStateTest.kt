package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class DrainStateTest : AnnotationSpec() {
    private fun drainState() = DrainState(graceMillis = { 8_000 })

    @Test
    fun `a daemon that isn't draining accepts requests and doesn't exit`() {
        val testSubject = drainState()

        testSubject.rejectsNewRequests(nowMillis = 100_000) shouldBe false
        testSubject.mayExit(nowMillis = 100_000) shouldBe false
        testSubject.mustExit(nowMillis = 100_000) shouldBe false
        testSubject.trustsEstimates(nowMillis = 100_000) shouldBe true
    }

    @Test
    fun `requests are still accepted for part of the grace period after the shutdown signal`() {
        val testSubject = drainState()

        testSubject.start(nowMillis = 1_000)

        testSubject.trustsEstimates(nowMillis = 3_700) shouldBe true
        testSubject.trustsEstimates(nowMillis = 3_900) shouldBe false
        testSubject.rejectsNewRequests(nowMillis = 4_500) shouldBe false
        testSubject.mayExit(nowMillis = 4_500) shouldBe false
        testSubject.rejectsNewRequests(nowMillis = 4_700) shouldBe true
        testSubject.mayExit(nowMillis = 4_700) shouldBe true
    }

    @Test
    fun `the process exits before the grace period is over, and a second signal doesn't extend it`() {
        val testSubject = drainState()

        testSubject.start(nowMillis = 0)
        testSubject.start(nowMillis = 7_000)

        testSubject.mustExit(nowMillis = 7_600) shouldBe false
        testSubject.mustExit(nowMillis = 7_800) shouldBe true
    }

    @Test
    fun `the final responses are due before the process exits`() {
        val testSubject = drainState()
        testSubject.leavesTimeUntil(endAtMillis = Long.MAX_VALUE) shouldBe true

        testSubject.start(nowMillis = 0)

        testSubject.leavesTimeUntil(endAtMillis = 7_000) shouldBe true
        testSubject.leavesTimeUntil(endAtMillis = 7_700) shouldBe false
        testSubject.mustRespond(nowMillis = 7_000) shouldBe false
        testSubject.mustRespond(nowMillis = 7_600) shouldBe true
        testSubject.mustExit(nowMillis = 7_600) shouldBe false
    }

    // Guards against an exit in the middle of a shutdown because the settings file changed meanwhile.
    @Test
    fun `a changed grace period doesn't move the exit of a shutdown that has started`() {
        var graceMillis = 8_000L
        val testSubject = DrainState(graceMillis = { graceMillis })
        testSubject.start(nowMillis = 0)

        graceMillis = 1_000

        testSubject.mustExit(nowMillis = 2_000) shouldBe false
        testSubject.mustRespond(nowMillis = 2_000) shouldBe false
        testSubject.mustExit(nowMillis = 7_800) shouldBe true
    }
}
