package org.bulrushtack.core.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.server.ServerSettings

class ServerBoundsTest : AnnotationSpec() {
    private val settings = ServerSettings(
        coldConcurrency = 2,
        warmConcurrency = 10,
        rampMillis = 1_000,
        checksFencing = false,
        longTokens = 30_000,
        longSharePercent = 60,
        prefillTokensPerSecond = 1_000,
        decodeTokensPerSecond = 10,
    )

    private fun bounds(ledger: Ledger) = ServerBounds(ledger, settings)

    private fun work(number: Int, tokens: Long = 1_000) = Work(
        id = WorkId("request-$number", 1),
        server = "engine",
        workspace = "dock",
        reservedTokens = tokens,
        expectedMillis = 100,
        receivedAtMillis = 0,
        deadlineAtMillis = 9_999,
    )

    private fun Ledger.run(work: Work, acknowledged: Boolean = true) {
        running[work.id] = Ledger.Dispatch(work, startedAtMillis = 0, acknowledged = acknowledged)
    }

    private fun warmLedger() = Ledger("engine").apply {
        incarnation = "incarnation-1"
        listRequestedAtMillis = 0
        capacityTokens = 100_000
        updateShare(allowed = Ledger.FULL_SHARE, nowMillis = -1_000)
        cold = false
        rampSinceMillis = 0
    }

    @Test
    fun `the limit is zero before the server is listed, and the cold limit while it is cold`() {
        val testSubject = Ledger("engine")
        bounds(testSubject).requestLimit(0) shouldBe 0

        testSubject.listRequestedAtMillis = 0
        testSubject.incarnation = "incarnation-1"

        bounds(testSubject).requestLimit(50_000) shouldBe 2
    }

    @Test
    fun `the limit increases over the ramp up to the warm limit`() {
        val testSubject = warmLedger()

        listOf(0L, 500L, 1_000L, 9_000L).map { bounds(testSubject).requestLimit(it) } shouldBe listOf(2, 6, 10, 10)
    }

    @Test
    fun `unacknowledged dispatches stay within the limit of a cold server`() {
        val testSubject = warmLedger()
        testSubject.run(work(1), acknowledged = false)
        bounds(testSubject).hasRoom(nowMillis = 1_000) shouldBe true

        testSubject.run(work(2), acknowledged = false)
        bounds(testSubject).hasRoom(nowMillis = 1_000) shouldBe false

        testSubject.acknowledge(work(1).id)
        bounds(testSubject).hasRoom(nowMillis = 1_000) shouldBe true
    }

    @Test
    fun `long work stays within its share of memory unless no other long work is running`() {
        val testSubject = warmLedger()
        bounds(testSubject).fitsMemory(work(1, tokens = 90_000)) shouldBe true

        testSubject.run(work(1, tokens = 40_000))

        bounds(testSubject).fitsMemory(work(2, tokens = 31_000)) shouldBe false
        bounds(testSubject).fitsMemory(work(3, tokens = 30_000)) shouldBe true
    }

    @Test
    fun `a share increase takes effect only with a list requested after the delay`() {
        val testSubject = warmLedger()
        testSubject.updateShare(allowed = Ledger.HALF_SHARE, nowMillis = 2_000)
        testSubject.share shouldBe Ledger.HALF_SHARE

        testSubject.updateShare(allowed = Ledger.FULL_SHARE, nowMillis = 3_000)
        testSubject.share shouldBe Ledger.HALF_SHARE

        testSubject.listRequestedAtMillis = 3_500
        testSubject.updateShare(allowed = Ledger.FULL_SHARE, nowMillis = 3_600)
        testSubject.share shouldBe Ledger.FULL_SHARE
    }
}
