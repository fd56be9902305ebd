package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import kotlin.random.Random

/** The pattern: every daemon is cut off from the others, and every request fails and is repeated at once. */
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

    /** Each daemon has learned of all from the store, and has heard none of them. */
    private fun cutOff(size: Int): List<RetryBudgets> = List(size) { number ->
        val table = DaemonTable(daemon(number))
        repeat(size) { table.addPeer("vm-$it", "vm-$it:7340") }
        RetryBudgets(ratio = { RATIO }, slack = { SLACK }, daemons = { table.knownCount })
    }

    @Test
    fun `daemons that are cut off stay within the budget of all together in every window`() {
        listOf(7, 84, 120).forEach { size ->
            val random = Random(size)
            val daemons = cutOff(size)
            val requests = mutableListOf<Long>()
            val resends = mutableListOf<Long>()
            var nowMillis = 0L
            while (nowMillis < 3 * WINDOW_MILLIS) {
                nowMillis += random.nextLong(20)
                val daemon = daemons.random(random)
                daemon.earn("guide")
                requests.add(nowMillis)
                while (daemon.spend("guide")) resends.add(nowMillis)
            }

            resends.forEach { end ->
                val window = end - WINDOW_MILLIS + 1..end
                val allowed = RATIO * requests.count { it in window } + SLACK
                resends.count { it in window }.toDouble() shouldBeLessThanOrEqual allowed
            }
        }
    }

    @Test
    fun `a daemon that learns of others gives up what it had saved`() {
        var known = 6
        val testSubject = RetryBudgets(ratio = { RATIO }, slack = { SLACK }, daemons = { known })
        testSubject.earn("guide")

        known = 84

        generateSequence { testSubject.spend("guide") }.takeWhile { it }.count() shouldBe 1
    }

    private companion object {
        /** The users' budget on their first site. */
        const val RATIO = 0.2
        const val SLACK = 244.0
        const val WINDOW_MILLIS = 10_000L
    }
}
