package org.bulrushtack.core.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class DaemonTableTest : AnnotationSpec() {
    private fun daemon(name: String, rank: Long?, ready: Boolean = true, leaving: Boolean = false) = DaemonInfo(
        name = name,
        incarnation = "life",
        dataCentre = "a",
        peerAddress = "$name:7340",
        frontAddress = "$name:80",
        rank = rank,
        ready = ready,
        leaving = leaving,
    )

    private fun table() = DaemonTable(daemon("vm-5", rank = 5))

    @Test
    fun `the daemon that has been registered longest places work`() {
        val testSubject = table()
        testSubject.heard(daemon("vm-2", rank = 2), atMillis = 0, direct = true)
        testSubject.heard(daemon("vm-9", rank = 9), atMillis = 0, direct = true)

        testSubject.placers(nowMillis = 100).map { it.name } shouldBe listOf("vm-2", "vm-5", "vm-9")
    }

    @Test
    fun `a daemon that leaves, is not ready, has no rank or did not answer places no work`() {
        val testSubject = table()
        testSubject.heard(daemon("vm-1", rank = 1, leaving = true), atMillis = 0, direct = true)
        testSubject.heard(daemon("vm-2", rank = 2, ready = false), atMillis = 0, direct = true)
        testSubject.heard(daemon("vm-3", rank = null), atMillis = 0, direct = true)
        testSubject.heard(daemon("vm-4", rank = 4), atMillis = 0, direct = true)
        testSubject.failed("vm-4:7340", nowMillis = 50)

        testSubject.placers(nowMillis = 100).map { it.name } shouldBe listOf("vm-5")
    }

    @Test
    fun `daemons stay in touch before they are ready`() {
        val testSubject = table()
        testSubject.heard(daemon("vm-2", rank = 2, ready = false), atMillis = 0, direct = true)

        testSubject.ranked(nowMillis = 100).first().name shouldBe "vm-2"
    }

    @Test
    fun `a daemon that falls silent is looked for again at its address`() {
        val testSubject = table()
        testSubject.heard(daemon("vm-2", rank = 2), atMillis = 0, direct = true)
        testSubject.unheardAddresses(nowMillis = 100) shouldBe emptySet()

        testSubject.expire(nowMillis = 5_000).map { it.name } shouldBe listOf("vm-2")

        testSubject.unheardAddresses(nowMillis = 5_000) shouldBe setOf("vm-2:7340")
    }

    @Test
    fun `news of a daemon at second hand doesn't make it younger`() {
        val testSubject = table()
        testSubject.heard(daemon("vm-2", rank = 2), atMillis = 1_000, direct = true)

        testSubject.heard(daemon("vm-2", rank = 2, ready = false), atMillis = 500, direct = false)

        testSubject.live(nowMillis = 1_100).single().ready shouldBe true
    }

    @Test
    fun `a change that a daemon made later counts, whichever way it came`() {
        val testSubject = table()
        testSubject.heard(daemon("vm-2", rank = 2, leaving = true).copy(revision = 4), atMillis = 100, direct = true)

        testSubject.heard(daemon("vm-2", rank = 2).copy(revision = 3), atMillis = 200, direct = false)

        testSubject.live(nowMillis = 300).single().leaving shouldBe true
    }

    @Test
    fun `a daemon that nobody vouches for any more is silent at once, unless it spoke here`() {
        val testSubject = table()
        testSubject.heard(daemon("vm-2", rank = 2), atMillis = 1_000, direct = false)
        testSubject.heard(daemon("vm-3", rank = 3), atMillis = 900, direct = true)
        testSubject.heard(daemon("vm-3", rank = 3), atMillis = 1_000, direct = false)

        testSubject.unheard("vm-2", nowMillis = 1_100)
        testSubject.unheard("vm-3", nowMillis = 1_100)

        testSubject.live(nowMillis = 1_100).map { it.name } shouldBe listOf("vm-3")
    }

    @Test
    fun `every change that a daemon makes of itself has its revision`() {
        val testSubject = table()

        testSubject.self = testSubject.self.copy(ready = false)
        testSubject.self = testSubject.self.copy(leaving = true)

        testSubject.self.revision shouldBe 2
    }

    @Test
    fun `daemons that are only known by their address are counted`() {
        val testSubject = table()

        testSubject.learn("10.0.0.1", "vm-1:7340")
        testSubject.learn("vm-1", "vm-1:7340")
        testSubject.heard(daemon("vm-2", rank = 2), atMillis = 0, direct = true)
        testSubject.expire(nowMillis = 60_000)

        testSubject.knownCount shouldBe 3
    }
}
