package org.bulrushtack.core.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class DaemonTableTest : AnnotationSpec() {
    private fun daemon(name: String, rank: Long?, ready: Boolean = true, leaving: Boolean = false) = DaemonInfo(
        name = name,
        incarnation = "first",
        dataCentre = "a",
        peerAddress = "$name:7340",
        frontAddress = "$name:80",
        rank = rank,
        ready = ready,
        leaving = leaving,
    )

    private fun table() = DaemonTable(daemon("vm-5", rank = 5))

    @Test
    fun `the daemon that registered first leads placement`() {
        val testSubject = table()
        testSubject.observe(daemon("vm-2", rank = 2), atMillis = 0, direct = true)
        testSubject.observe(daemon("vm-9", rank = 9), atMillis = 0, direct = true)

        testSubject.leaderCandidates(nowMillis = 100).map { it.name } shouldBe listOf("vm-2", "vm-5", "vm-9")
    }

    @Test
    fun `a daemon that is leaving, not ready, without a rank or unresponsive does not lead placement`() {
        val testSubject = table()
        testSubject.observe(daemon("vm-1", rank = 1, leaving = true), atMillis = 0, direct = true)
        testSubject.observe(daemon("vm-2", rank = 2, ready = false), atMillis = 0, direct = true)
        testSubject.observe(daemon("vm-3", rank = null), atMillis = 0, direct = true)
        testSubject.observe(daemon("vm-4", rank = 4), atMillis = 0, direct = true)
        testSubject.markUnresponsive("vm-4:7340", nowMillis = 50)

        testSubject.leaderCandidates(nowMillis = 100).map { it.name } shouldBe listOf("vm-5")
    }

    @Test
    fun `daemons are ranked before they are ready`() {
        val testSubject = table()
        testSubject.observe(daemon("vm-2", rank = 2, ready = false), atMillis = 0, direct = true)

        testSubject.ranked(nowMillis = 100).first().name shouldBe "vm-2"
    }

    @Test
    fun `the address of an expired daemon is probed again`() {
        val testSubject = table()
        testSubject.observe(daemon("vm-2", rank = 2), atMillis = 0, direct = true)
        testSubject.unseenAddresses(nowMillis = 100) shouldBe emptySet()

        testSubject.expire(nowMillis = 5_000).map { it.name } shouldBe listOf("vm-2")

        testSubject.unseenAddresses(nowMillis = 5_000) shouldBe setOf("vm-2:7340")
    }

    @Test
    fun `an older report by a peer does not replace newer direct contact`() {
        val testSubject = table()
        testSubject.observe(daemon("vm-2", rank = 2), atMillis = 1_000, direct = true)

        testSubject.observe(daemon("vm-2", rank = 2, ready = false), atMillis = 500, direct = false)

        testSubject.live(nowMillis = 1_100).single().ready shouldBe true
    }

    @Test
    fun `the higher revision of a daemon wins over a later report of a lower one`() {
        val testSubject = table()
        testSubject.observe(daemon("vm-2", rank = 2, leaving = true).copy(revision = 4), atMillis = 100, direct = true)

        testSubject.observe(daemon("vm-2", rank = 2).copy(revision = 3), atMillis = 200, direct = false)

        testSubject.live(nowMillis = 300).single().leaving shouldBe true
    }

    @Test
    fun `a daemon whose report is withdrawn is dead at once unless it had direct contact`() {
        val testSubject = table()
        testSubject.observe(daemon("vm-2", rank = 2), atMillis = 1_000, direct = false)
        testSubject.observe(daemon("vm-3", rank = 3), atMillis = 900, direct = true)
        testSubject.observe(daemon("vm-3", rank = 3), atMillis = 1_000, direct = false)

        testSubject.withdrawReport("vm-2", nowMillis = 1_100)
        testSubject.withdrawReport("vm-3", nowMillis = 1_100)

        testSubject.live(nowMillis = 1_100).map { it.name } shouldBe listOf("vm-3")
    }

    @Test
    fun `every change to a daemon's own description increments its revision`() {
        val testSubject = table()

        testSubject.self = testSubject.self.copy(ready = false)
        testSubject.self = testSubject.self.copy(leaving = true)

        testSubject.self.revision shouldBe 2
    }

    @Test
    fun `daemons of which only the address is known are counted`() {
        val testSubject = table()

        testSubject.addPeer("10.0.0.1", "vm-1:7340")
        testSubject.addPeer("vm-1", "vm-1:7340")
        testSubject.observe(daemon("vm-2", rank = 2), atMillis = 0, direct = true)
        testSubject.expire(nowMillis = 60_000)

        testSubject.knownCount shouldBe 3
    }
}
