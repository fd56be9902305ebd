package org.bulrushtack.core.ownership

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import org.bulrushtack.core.dispatch.RunningList.RunningRequest
import org.bulrushtack.core.testing.FakeClock
import org.bulrushtack.core.testing.FakeServer
import org.bulrushtack.core.testing.FakeSystem

/**
 * Compares the maximum number of requests that a cold server holds when one owner dispatches to it and when each daemon
 * dispatches independently by the lagging load report.
 */
class OvershootTest : AnnotationSpec() {
    @Test
    fun `one owner stays within a cold server's limit with 1, 3 and 7 daemons, and 7 independent daemons exceed it`() {
        val rows = listOf(1, 3, 7).map { count -> Row(count, owned = owned(count), independent = independent(count)) }

        println("overshoot: bound=${FakeSystem.COLD_CONCURRENCY} " + rows.joinToString())
        rows.forEach { it.owned shouldBeLessThanOrEqual FakeSystem.COLD_CONCURRENCY }
        rows.last().independent shouldBeGreaterThan FakeSystem.COLD_CONCURRENCY
    }

    private fun owned(daemonCount: Int): Int {
        val system = FakeSystem(seed = 7, daemonCount = daemonCount, engines = 1, services = 0)
        system.advance(9_000)
        repeat(100) { round ->
            if (round % 20 == 0) system.servers.values.first().restart()
            repeat(daemonCount) { system.complete(daemon = system.live()[it]) }
            system.advance(100)
        }
        return system.servers.values.first().maximumRunningWhileCold
    }

    /** Each daemon sends while the load report of one second ago is below the limit. */
    private fun independent(daemonCount: Int): Int {
        val clock = FakeClock()
        val server = FakeServer("engine-1", clock, capacityTokens = 100_000, coldConcurrency = 2, coldMillis = 60_000)
        val history = ArrayDeque<Int>()
        repeat(100) { round ->
            history.addLast(server.running.size)
            val reported = if (history.size > REPORT_LAG_ROUNDS) history.removeFirst() else 0
            repeat(daemonCount) { sender ->
                if (reported < FakeSystem.COLD_CONCURRENCY) send(server, "request-$round-$sender", clock)
            }
            clock.advance(100)
        }
        return server.maximumRunningWhileCold
    }

    private fun send(server: FakeServer, id: String, clock: FakeClock) {
        server.start(RunningRequest(id, "vm", "incarnation-1", reservedTokens = 100))
        clock.schedule(EXECUTION_MILLIS) { server.running.remove(id) }
    }

    private data class Row(
        val daemons: Int,
        val owned: Int,
        val independent: Int,
    ) {
        override fun toString(): String = "daemons=$daemons owned=$owned plain=$independent"
    }
}

private const val REPORT_LAG_ROUNDS = 10
private const val EXECUTION_MILLIS = 850L
