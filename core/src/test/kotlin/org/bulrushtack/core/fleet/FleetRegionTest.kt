package org.bulrushtack.core.fleet

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class FleetRegionTest : AnnotationSpec() {
    private val entry = BackendServerEntry(
        id = "i-1",
        service = "guide",
        address = "10.1.0.1:80",
        dataCentre = "a",
        slots = 11,
        leaving = false,
        coldMillis = 500,
        startedAtMillis = 1,
    )

    private fun fleet() = FleetRegion().apply { put(entry, nowMillis = 1_000) }

    @Test
    fun `a listed server is usable and its cold phase starts when its entry is read`() {
        fleet().usable("i-1", nowMillis = 1_000)?.coldUntilMillis shouldBe 1_500
    }

    @Test
    fun `a server that is lost is not usable until its entry is written again`() {
        val testSubject = fleet()

        testSubject.markLost("i-1", nowMillis = 1_000)

        testSubject.usable("i-1", nowMillis = 1_000) shouldBe null
        testSubject.put(entry, nowMillis = 2_000)
        testSubject.usable("i-1", nowMillis = 2_000)?.entry shouldBe entry
    }

    // Guards against a daemon that passes on late what it read before.
    @Test
    fun `a server that is lost stays so when an entry follows that was read before`() {
        val testSubject = fleet()
        testSubject.markLost("i-1", nowMillis = 2_000)

        testSubject.put(entry, nowMillis = 2_500, readAtMillis = 1_999)

        testSubject.usable("i-1", nowMillis = 2_500) shouldBe null
        testSubject.put(entry, nowMillis = 3_000, readAtMillis = 2_000)
        testSubject.usable("i-1", nowMillis = 3_000)?.entry shouldBe entry
    }

    @Test
    fun `a server that is lost is usable at another address and in another lifetime, whenever that was read`() {
        val others = listOf(entry.copy(address = "10.1.0.2:80"), entry.copy(startedAtMillis = 2))
        others.forEach { other ->
            val testSubject = fleet()
            testSubject.markLost("i-1", nowMillis = 2_000)

            testSubject.put(other, nowMillis = 2_500, readAtMillis = 1_999)

            testSubject.usable("i-1", nowMillis = 2_500)?.entry shouldBe other
        }
    }

    // Guards against a heartbeat that the store carries out late, after the server said that it leaves.
    @Test
    fun `a server that said that it leaves is not usable, whatever entry of the same lifetime follows`() {
        val testSubject = fleet()
        testSubject.put(entry.copy(leaving = true), nowMillis = 2_000)

        testSubject.put(entry.copy(coldMillis = 0), nowMillis = 3_000)

        testSubject.usable("i-1", nowMillis = 3_000) shouldBe null
    }

    @Test
    fun `a server that says in a response that it leaves stays leaving until its next start`() {
        val testSubject = fleet()

        testSubject.markLeaving(testSubject.lifetime("i-1")) shouldBe true

        testSubject.put(entry, nowMillis = 2_000)
        testSubject.usable("i-1", nowMillis = 2_000) shouldBe null
        testSubject.put(entry.copy(startedAtMillis = 2), nowMillis = 3_000)
        testSubject.usable("i-1", nowMillis = 3_000)?.entry?.startedAtMillis shouldBe 2
    }

    @Test
    fun `the word of an earlier lifetime is not held against a server that has started again`() {
        val testSubject = fleet()
        val earlier = testSubject.lifetime("i-1")
        testSubject.put(entry.copy(startedAtMillis = 2), nowMillis = 2_000)

        testSubject.markLeaving(earlier) shouldBe false

        testSubject.usable("i-1", nowMillis = 2_000)?.entry?.startedAtMillis shouldBe 2
    }

    @Test
    fun `a server that starts again after it left is usable`() {
        val testSubject = fleet()
        testSubject.put(entry.copy(leaving = true), nowMillis = 2_000)

        testSubject.put(entry.copy(startedAtMillis = 2), nowMillis = 3_000)

        testSubject.usable("i-1", nowMillis = 3_000)?.entry?.startedAtMillis shouldBe 2
    }

    // Guards against a heartbeat of a former run that the store carries out after the next run has left.
    @Test
    fun `a server that said that it leaves is not usable after an entry of an earlier lifetime`() {
        val testSubject = fleet()
        testSubject.put(entry.copy(startedAtMillis = 2), nowMillis = 2_000)
        testSubject.markLeaving(testSubject.lifetime("i-1"))

        testSubject.put(entry, nowMillis = 3_000)
        testSubject.usable("i-1", nowMillis = 3_000) shouldBe null
        testSubject.put(entry.copy(startedAtMillis = 2), nowMillis = 4_000)

        testSubject.usable("i-1", nowMillis = 4_000) shouldBe null
    }

    @Test
    fun `a server whose start is not known is usable when its entry no longer says that it leaves`() {
        val testSubject = FleetRegion()
        testSubject.put(entry.copy(leaving = true, startedAtMillis = 0), nowMillis = 2_000)

        testSubject.put(entry.copy(startedAtMillis = 0), nowMillis = 3_000)

        testSubject.usable("i-1", nowMillis = 3_000)?.entry?.leaving shouldBe false
    }

    @Test
    fun `the servers of a data centre are not usable while it is taken out`() {
        val testSubject = fleet()

        testSubject.setTakenOut("a", out = true)
        testSubject.usableOf("guide", nowMillis = 1_000).size shouldBe 0
        testSubject.setTakenOut("a", out = false)

        testSubject.usableOf("guide", nowMillis = 1_000).size shouldBe 1
    }

    @Test
    fun `a server whose entry was deleted after an outage of the store stays usable until it expires`() {
        val testSubject = fleet()

        testSubject.markRemoved("i-1", usableUntilMillis = 3_000)

        testSubject.usable("i-1", nowMillis = 2_999)?.entry shouldBe entry
        testSubject.usable("i-1", nowMillis = 3_000) shouldBe null
    }

    @Test
    fun `a server whose entry is added again no longer expires`() {
        val testSubject = fleet()
        testSubject.markRemoved("i-1", usableUntilMillis = 3_000)

        testSubject.put(entry, nowMillis = 2_000)

        testSubject.usable("i-1", nowMillis = 9_000)?.entry shouldBe entry
    }
}
