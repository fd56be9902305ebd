package org.bulrushtack.core.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

class ServerHealthTest : AnnotationSpec() {
    @Test
    fun `a server that fails again and again is tried ever less often`() {
        val testSubject = ServerHealth()

        testSubject.note("i-1", PlacementOutcome.FAILED, slowness = null, nowMillis = 0)
        testSubject.isAvoided("i-1", nowMillis = 499) shouldBe true
        testSubject.isAvoided("i-1", nowMillis = 500) shouldBe false
        testSubject.note("i-1", PlacementOutcome.FAILED, slowness = null, nowMillis = 500)

        testSubject.isAvoided("i-1", nowMillis = 1_499) shouldBe true
    }

    @Test
    fun `a server that has just failed gets one request at a time to prove itself`() {
        val testSubject = ServerHealth()
        testSubject.note("i-1", PlacementOutcome.FAILED, slowness = null, nowMillis = 0)

        testSubject.used("i-1", nowMillis = 600)

        testSubject.isAvoided("i-1", nowMillis = 700) shouldBe true
    }

    @Test
    fun `a server that fails part of its requests looks worse than a sound one`() {
        val testSubject = ServerHealth()

        repeat(20) { number ->
            val outcome = if (number % 2 == 0) PlacementOutcome.FAILED else PlacementOutcome.SUCCEEDED
            testSubject.note("grey", outcome, slowness = 1.0, nowMillis = 0)
            testSubject.note("sound", PlacementOutcome.SUCCEEDED, slowness = 1.0, nowMillis = 0)
        }

        testSubject.failureRate("grey") shouldBeGreaterThan 0.25
        testSubject.failureRate("sound") shouldBeLessThan 0.01
    }

    @Test
    fun `a slow server's pace is learnt, and one stall doesn't rule it out`() {
        val testSubject = ServerHealth()

        testSubject.note("stalled", PlacementOutcome.SUCCEEDED, slowness = 50.0, nowMillis = 0)
        repeat(20) { testSubject.note("slow", PlacementOutcome.SUCCEEDED, slowness = 4.0, nowMillis = 0) }

        testSubject.slowness("stalled") shouldBeLessThan 2.5
        testSubject.slowness("slow") shouldBeGreaterThan 3.5
    }
}
