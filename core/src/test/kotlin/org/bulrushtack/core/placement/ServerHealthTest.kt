package org.bulrushtack.core.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

class ServerHealthTest : AnnotationSpec() {
    @Test
    fun `consecutive failures lengthen the time between probes`() {
        val testSubject = ServerHealth()

        testSubject.recordOutcome("i-1", PlacementOutcome.FAILED, slowness = null, nowMillis = 0)
        testSubject.isAvoided("i-1", nowMillis = 499) shouldBe true
        testSubject.isAvoided("i-1", nowMillis = 500) shouldBe false
        testSubject.recordOutcome("i-1", PlacementOutcome.FAILED, slowness = null, nowMillis = 500)

        testSubject.isAvoided("i-1", nowMillis = 1_499) shouldBe true
    }

    @Test
    fun `a server that has just failed gets one probe request at a time`() {
        val testSubject = ServerHealth()
        testSubject.recordOutcome("i-1", PlacementOutcome.FAILED, slowness = null, nowMillis = 0)

        testSubject.recordSend("i-1", nowMillis = 600)

        testSubject.isAvoided("i-1", nowMillis = 700) shouldBe true
    }

    @Test
    fun `a server that fails some of its requests has a higher failure rate than a healthy one`() {
        val testSubject = ServerHealth()

        repeat(20) { number ->
            val outcome = if (number % 2 == 0) PlacementOutcome.FAILED else PlacementOutcome.SUCCEEDED
            testSubject.recordOutcome("partly-failing", outcome, slowness = 1.0, nowMillis = 0)
            testSubject.recordOutcome("healthy", PlacementOutcome.SUCCEEDED, slowness = 1.0, nowMillis = 0)
        }

        testSubject.failureRate("partly-failing") shouldBeGreaterThan 0.25
        testSubject.failureRate("healthy") shouldBeLessThan 0.01
    }

    @Test
    fun `the slowness of a server follows its answers, and a single stall doesn't exclude it`() {
        val testSubject = ServerHealth()

        testSubject.recordOutcome("stalled", PlacementOutcome.SUCCEEDED, slowness = 50.0, nowMillis = 0)
        repeat(20) { testSubject.recordOutcome("slow", PlacementOutcome.SUCCEEDED, slowness = 4.0, nowMillis = 0) }

        testSubject.slowness("stalled", nowMillis = 0) shouldBeLessThan 2.5
        testSubject.slowness("slow", nowMillis = 0) shouldBeGreaterThan 3.5
    }

    @Test
    fun `a server whose short prompts wait less than predicted doesn't count as faster than its published figures`() {
        val testSubject = ServerHealth()

        repeat(20) { testSubject.recordOutcome("quick", PlacementOutcome.SUCCEEDED, slowness = 0.4, nowMillis = 0) }

        testSubject.slowness("quick", nowMillis = 0) shouldBe 1.0
    }

    @Test
    fun `a server that was slow is tried again when nothing was measured for a while`() {
        val testSubject = ServerHealth()

        repeat(20) { testSubject.recordOutcome("slow", PlacementOutcome.SUCCEEDED, slowness = 6.0, nowMillis = 0) }

        testSubject.slowness("slow", nowMillis = 30_000) shouldBeLessThan 1.1
    }
}
