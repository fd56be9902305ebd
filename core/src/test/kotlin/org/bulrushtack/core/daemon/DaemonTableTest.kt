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
}
