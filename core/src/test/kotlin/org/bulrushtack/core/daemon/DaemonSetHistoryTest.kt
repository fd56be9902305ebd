package org.bulrushtack.core.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Many daemons, of which a few start, change and stop between two sync requests of a peer. */
class DaemonSetHistoryTest : AnnotationSpec() {
    private fun daemon(number: Int, ready: Boolean = true) = DaemonInfo(
        name = "vm-$number",
        incarnation = "first",
        dataCentre = "a",
        peerAddress = "vm-$number:7340",
        frontAddress = "vm-$number:80",
        rank = number.toLong(),
        ready = ready,
        leaving = false,
    )

    @Test
    fun `a peer that is up to date gets an empty delta`() {
        val testSubject = DaemonSetHistory()
        testSubject.update((1..84).map { daemon(it) })
        val first = testSubject.since(0)

        testSubject.update((1..84).map { daemon(it) })
        val second = testSubject.since(first.version)

        first.complete shouldBe true
        first.daemons.size shouldBe 84
        second shouldBe DaemonSetDelta(first.version, complete = false, daemons = emptyList(), removed = emptySet())
    }

    @Test
    fun `a peer that lags by any number of changes gets the live daemons in a small delta`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val testSubject = DaemonSetHistory()
            val view = PeerDaemonView("first")
            val live = HashMap<Int, DaemonInfo>()
            repeat(STEPS) {
                var touched = 0
                repeat(random.nextInt(8)) {
                    val number = random.nextInt(400)
                    touched += 1
                    if (number in live && random.nextBoolean()) {
                        live.remove(number)
                    } else {
                        live[number] = daemon(number, ready = random.nextBoolean())
                    }
                    testSubject.update(live.values)
                }
                if (random.nextInt(3) > 0) {
                    val delta = testSubject.since(view.version)
                    view.applyDelta(delta)
                    view.daemons shouldContainExactlyInAnyOrder live.values
                }
            }
            val last = testSubject.since(view.version)
            last.daemons.size + last.removed.size shouldBeLessThanOrEqual 8 * STEPS
        }
    }

    @Test
    fun `a peer with an unknown version gets the complete set`() {
        val testSubject = DaemonSetHistory()
        testSubject.update(listOf(daemon(1)))

        testSubject.since(known = 99).complete shouldBe true
    }

    @Test
    fun `applying a delta returns the daemons that the peer no longer reports`() {
        val testSubject = PeerDaemonView("first")
        testSubject.applyDelta(DaemonSetDelta(2, complete = true, listOf(daemon(1), daemon(2)), removed = emptySet()))

        val removed = testSubject.applyDelta(DaemonSetDelta(3, complete = false, emptyList(), removed = setOf("vm-1")))
        val others = testSubject.applyDelta(DaemonSetDelta(9, complete = true, listOf(daemon(3)), removed = emptySet()))

        removed shouldBe setOf("vm-1")
        others shouldBe setOf("vm-2")
        testSubject.daemons.map { it.name } shouldBe listOf("vm-3")
    }

    private companion object {
        const val SEEDS = 10
        const val STEPS = 200
    }
}
