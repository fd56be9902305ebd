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
        incarnation = "life"
        listRequestedAtMillis = 0
        capacityTokens = 100_000
        updateShare(allowed = Ledger.FULL_SHARE, nowMillis = -1_000)
        cold = false
        rampSinceMillis = 0
    }

    @Test
    fun `a server that was not listed gets nothing, and a cold one its cold bound`() {
        val testSubject = Ledger("engine")
        bounds(testSubject).requestLimit(0) shouldBe 0

        testSubject.listRequestedAtMillis = 0
        testSubject.incarnation = "life"

        bounds(testSubject).requestLimit(50_000) shouldBe 2
    }

    @Test
    fun `the bound rises over the ramp and not beyond`() {
        val testSubject = warmLedger()

        listOf(0L, 500L, 1_000L, 9_000L).map { bounds(testSubject).requestLimit(it) } shouldBe listOf(2, 6, 10, 10)
    }

    @Test
    fun `no more dispatches are unacknowledged than a cold server bears`() {
        val testSubject = warmLedger()
        testSubject.run(work(1), acknowledged = false)
        bounds(testSubject).hasRoom(nowMillis = 1_000) shouldBe true

        testSubject.run(work(2), acknowledged = false)
        bounds(testSubject).hasRoom(nowMillis = 1_000) shouldBe false

        testSubject.acknowledge(work(1).id)
        bounds(testSubject).hasRoom(nowMillis = 1_000) shouldBe true
    }

    @Test
    fun `long work takes no more than its share of memory, unless nothing long runs`() {
        val testSubject = warmLedger()
        bounds(testSubject).fitsMemory(work(1, tokens = 90_000)) shouldBe true

        testSubject.run(work(1, tokens = 40_000))

        bounds(testSubject).fitsMemory(work(2, tokens = 31_000)) shouldBe false
        bounds(testSubject).fitsMemory(work(3, tokens = 30_000)) shouldBe true
    }

    @Test
    fun `a higher share counts only after a fresh list`() {
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
