package org.bulrushtack.core.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class ColdStartLimiterTest : AnnotationSpec() {
    @Test
    fun `daemons that don't know of one another keep a cold server's limit together in every second`() {
        repeat(DRAWS) { draw ->
            val random = Random(draw)
            val daemons = List(3) { ColdStartLimiter() }
            val sends = mutableListOf<Long>()
            var nowMillis = 0L

            repeat(2_000) {
                nowMillis += random.nextLong(4)
                val daemon = daemons[random.nextInt(daemons.size)]
                if (daemon.allows("i-1", PER_SECOND, nowMillis)) {
                    daemon.recordSend("i-1", nowMillis)
                    sends.add(nowMillis)
                }
            }

            sends.maxOf { start -> sends.count { it in start until start + 1_000 } } shouldBeLessThanOrEqual LIMIT
        }
    }

    // Guards against a cold plain server that each of many daemons sends the share meant for a placement leader.
    @Test
    fun `any number of daemons that select servers on their own keep a cold server's limit together`() {
        listOf(1, 7, 84, 1_000).forEach { count ->
            val names = (1..count).map { "vm-$it" }.toSet()
            val daemons = names.map { ColdStartLimiter(share = EqualColdStartShare(self = it, daemons = { names })) }
            val nowMillis = 0L

            val sends = daemons.sumOf { daemon ->
                generateSequence { daemon.allows("i-1", PER_SECOND, nowMillis) }
                    .takeWhile { it }
                    .onEach { daemon.recordSend("i-1", nowMillis) }
                    .count()
            }

            sends shouldBe PER_SECOND.toInt()
        }
    }

    // Guards against a daemon whose heap fills with the times of sends to servers that are never cold again.
    @Test
    fun `sends to any server are forgotten after their window`() {
        val testSubject = ColdStartLimiter()

        repeat(100_000) { number ->
            testSubject.recordSend("i-${number / 10_000}", nowMillis = number.toLong())
        }

        testSubject.rememberedSends shouldBeLessThanOrEqual SENDS_IN_WINDOW
    }

    private companion object {
        const val DRAWS = 30
        const val PER_SECOND = 26.0

        /** The users' limit: requests a second times 1.5, plus 5. */
        const val LIMIT = 44

        /** One send a millisecond, kept for the 1.3 s of the window. */
        const val SENDS_IN_WINDOW = 1_300
    }
}
