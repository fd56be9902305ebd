package org.bulrushtack.core.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class StoreReaderTest : AnnotationSpec() {
    private fun daemon(number: Int, storeUnreadable: Boolean = false, ready: Boolean = true) = DaemonInfo(
        name = "vm-$number",
        incarnation = "first",
        dataCentre = "a",
        peerAddress = "vm-$number:7340",
        frontAddress = "vm-$number:80",
        rank = number.toLong(),
        ready = ready,
        leaving = false,
        storeUnreadable = storeUnreadable,
    )

    /** The table of daemon 9, which has just heard [others]. */
    private fun table(vararg others: DaemonInfo) = DaemonTable(daemon(9)).also { table ->
        others.forEach { table.observe(it, atMillis = 0, direct = true) }
    }

    private fun DaemonTable.reader() = storeReader(nowMillis = 100)?.name

    private fun DaemonTable.substitutes() = substituteReaders(nowMillis = 100).map { it.name }

    @Test
    fun `the first ready daemon in rank reads for all, without a substitute`() {
        val testSubject = table(daemon(1, ready = false), daemon(3), daemon(2))

        testSubject.reader() shouldBe "vm-2"
        testSubject.substitutes() shouldBe emptyList()
    }

    @Test
    fun `daemons that can't read the store are passed over, and the next two may try`() {
        val testSubject = table(
            daemon(1, storeUnreadable = true),
            daemon(2, storeUnreadable = true),
            daemon(3, ready = false),
            daemon(4),
            daemon(5),
            daemon(6),
        )

        testSubject.reader() shouldBe "vm-4"
        testSubject.substitutes() shouldBe listOf("vm-4", "vm-5")
        testSubject.storeUnreadableCount(nowMillis = 100) shouldBe 2
    }

    @Test
    fun `a later daemon that can't read the store changes nothing`() {
        val testSubject = table(daemon(1), daemon(2, storeUnreadable = true))

        testSubject.reader() shouldBe "vm-1"
        testSubject.substitutes() shouldBe emptyList()
    }

    // Guards against a system in which nobody tries any more.
    @Test
    fun `the first daemon in rank reads if none can read the store`() {
        val testSubject = table(daemon(2, storeUnreadable = true), daemon(1, storeUnreadable = true))
        testSubject.self = testSubject.self.copy(storeUnreadable = true)

        testSubject.reader() shouldBe "vm-1"
        testSubject.substitutes() shouldBe emptyList()
    }

    @Test
    fun `a daemon that doesn't respond doesn't read for all`() {
        val testSubject = table(daemon(1, storeUnreadable = true), daemon(2))
        testSubject.markUnresponsive("vm-2:7340", nowMillis = 50)

        testSubject.reader() shouldBe "vm-9"
    }

    @Test
    fun `only a change is news`() {
        val testSubject = table()
        val changed = daemon(1, storeUnreadable = true).copy(revision = 1)

        testSubject.observe(daemon(1), atMillis = 0, direct = true) shouldBe false
        testSubject.observe(changed, atMillis = 1, direct = false) shouldBe true
        testSubject.observe(changed, atMillis = 2, direct = true) shouldBe false
        testSubject.observe(daemon(1), atMillis = 3, direct = false) shouldBe false
        testSubject.observe(daemon(1).copy(revision = 2), atMillis = 4, direct = true) shouldBe true
    }

    // Guards against readers that change with each report by a daemon of an older build, which leaves the field out.
    @Test
    fun `a report that lost what a daemon says of the store doesn't count as a change`() {
        val unreadable = daemon(1, storeUnreadable = true).copy(revision = 1)
        val lost = unreadable.copy(storeUnreadable = false)
        val testSubject = table(unreadable, daemon(2))

        testSubject.observe(lost, atMillis = 10, direct = false) shouldBe false
        testSubject.reader() shouldBe "vm-2"

        val informedLater = table(lost, daemon(2))
        informedLater.observe(unreadable, atMillis = 10, direct = true) shouldBe true
        informedLater.reader() shouldBe "vm-2"
    }
}
