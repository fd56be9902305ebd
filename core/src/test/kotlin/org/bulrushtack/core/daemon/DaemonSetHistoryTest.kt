package org.bulrushtack.core.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** The pattern: many daemons, of which a few start, change and end between two questions of a peer. */
class DaemonSetHistoryTest : AnnotationSpec() {
    private fun daemon(number: Int, ready: Boolean = true) = DaemonInfo(
        name = "vm-$number",
        incarnation = "life",
        dataCentre = "a",
        peerAddress = "vm-$number:7340",
        frontAddress = "vm-$number:80",
        rank = number.toLong(),
        ready = ready,
        leaving = false,
    )

    @Test
    fun `a peer that is up to date is told nothing`() {
        val testSubject = DaemonSetHistory()
        testSubject.update((1..84).map { daemon(it) })
        val first = testSubject.since(0)

        testSubject.update((1..84).map { daemon(it) })
        val second = testSubject.since(first.version)

        first.complete shouldBe true
        first.daemons.size shouldBe 84
        second shouldBe DaemonSetDelta(first.version, complete = false, daemons = emptyList(), gone = emptySet())
    }

    @Test
    fun `a peer that lags by any number of changes ends with the live daemons, and is told little`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val testSubject = DaemonSetHistory()
            val view = PeerDaemonView("life")
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
                    val change = testSubject.since(view.version)
                    view.take(change)
                    view.daemons shouldContainExactlyInAnyOrder live.values
                }
            }
            val last = testSubject.since(view.version)
            last.daemons.size + last.gone.size shouldBeLessThanOrEqual 8 * STEPS
        }
    }

    @Test
    fun `a peer that knows more than this daemon has said is told all`() {
        val testSubject = DaemonSetHistory()
        testSubject.update(listOf(daemon(1)))

        testSubject.since(known = 99).complete shouldBe true
    }

    @Test
    fun `a view tells which daemons its peer no longer vouches for`() {
        val testSubject = PeerDaemonView("life")
        val all = DaemonSetDelta(version = 2, complete = true, daemons = listOf(daemon(1), daemon(2)), gone = emptySet())
        testSubject.take(all)

        val gone = testSubject.take(DaemonSetDelta(3, complete = false, daemons = emptyList(), gone = setOf("vm-1")))
        val rest = testSubject.take(DaemonSetDelta(9, complete = true, daemons = listOf(daemon(3)), gone = emptySet()))

        gone shouldBe setOf("vm-1")
        rest shouldBe setOf("vm-2")
        testSubject.daemons.map { it.name } shouldBe listOf("vm-3")
    }

    private companion object {
        const val SEEDS = 10
        const val STEPS = 200
    }
}
