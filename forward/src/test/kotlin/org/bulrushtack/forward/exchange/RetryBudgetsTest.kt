package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import kotlin.random.Random

/**
 * Guards against exceeding the shared budget when every daemon is partitioned from the others, and every request fails
 * and is resent at once.
 */
class RetryBudgetsTest : AnnotationSpec() {
    private fun daemon(number: Int) = DaemonInfo(
        name = "vm-$number",
        incarnation = "life",
        dataCentre = "a",
        peerAddress = "vm-$number:7340",
        frontAddress = "vm-$number:80",
        rank = 1,
        ready = true,
        leaving = false,
    )

    /** Daemons that have discovered all others in the store, but have had direct contact with none. */
    private fun partitioned(size: Int): List<RetryBudgets> = List(size) { number ->
        val table = DaemonTable(daemon(number))
        repeat(size) { table.addPeer("vm-$it", "vm-$it:7340") }
        RetryBudgets(ratio = { RATIO }, slack = { SLACK }, daemonCount = { table.knownCount })
    }

    @Test
    fun `partitioned daemons together stay within the shared budget in every window`() {
        listOf(7, 84, 120).forEach { size ->
            val random = Random(size)
            val daemons = partitioned(size)
            val requests = mutableListOf<Long>()
            val resends = mutableListOf<Long>()
            var nowMillis = 0L
            while (nowMillis < 3 * WINDOW_MILLIS) {
                nowMillis += random.nextLong(20)
                val daemon = daemons.random(random)
                daemon.deposit("guide")
                requests.add(nowMillis)
                while (daemon.tryWithdraw("guide")) resends.add(nowMillis)
            }

            resends.forEach { end ->
                val window = end - WINDOW_MILLIS + 1..end
                val allowed = RATIO * requests.count { it in window } + SLACK
                resends.count { it in window }.toDouble() shouldBeLessThanOrEqual allowed
            }
        }
    }

    @Test
    fun `a daemon that discovers others loses its accumulated resends`() {
        var known = 6
        val testSubject = RetryBudgets(ratio = { RATIO }, slack = { SLACK }, daemonCount = { known })
        testSubject.deposit("guide")

        known = 84

        generateSequence { testSubject.tryWithdraw("guide") }.takeWhile { it }.count() shouldBe 1
    }

    private companion object {
        /** The users' budget on their first site. */
        const val RATIO = 0.2
        const val SLACK = 244.0
        const val WINDOW_MILLIS = 10_000L
    }
}
