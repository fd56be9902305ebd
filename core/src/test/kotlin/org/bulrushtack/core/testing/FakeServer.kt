package org.bulrushtack.core.testing

import org.bulrushtack.core.dispatch.RunningList
import org.bulrushtack.core.dispatch.ServerReport

/** An in-memory backend server that records the maximum load it held, in total and while it was cold. */
internal class FakeServer(
    val name: String,
    private val clock: FakeClock,
    val capacityTokens: Long,
    val coldConcurrency: Int,
    private val coldMillis: Long = 3_000,
) {
    val running = LinkedHashMap<String, RunningList.RunningRequest>()
    val onLost = HashMap<String, () -> Unit>()
    val runsByKey = HashMap<String, Int>()
    val runsByRequest = HashMap<String, Int>()
    var responsesToLose = 0
    var leaving = false
    var incarnation = "$name/0"
        private set
    var maximumRunningWhileCold = 0
        private set
    var maximumHeldTokens = 0L
        private set
    var lastStartAtMillis = 0L
        private set

    private var restarts = 0
    private var coldSinceMillis = clock.nowMillis
    private val reports = ArrayDeque<Pair<Long, ServerReport>>()

    val isCold: Boolean get() = clock.nowMillis - coldSinceMillis < coldMillis

    fun start(request: RunningList.RunningRequest) {
        running[request.id] = request
        lastStartAtMillis = clock.nowMillis
        if (isCold) maximumRunningWhileCold = maxOf(maximumRunningWhileCold, running.size)
        maximumHeldTokens = maxOf(maximumHeldTokens, running.values.sumOf { it.reservedTokens })
    }

    fun countRun(requestId: String, key: String) {
        runsByRequest.merge(requestId, 1, Int::plus)
        runsByKey.merge(key, 1, Int::plus)
    }

    /** Restarts the server cold and empty, without notice to the daemons. */
    fun restart() {
        restarts++
        incarnation = "$name/$restarts"
        coldSinceMillis = clock.nowMillis
        running.clear()
        onLost.values.toList().forEach { it() }
        onLost.clear()
    }

    fun list(): RunningList =
        RunningList(incarnation, capacityTokens, leaving = leaving, requests = running.values.toList())

    /** The load report of one second ago, or null before there is one. */
    fun report(): ServerReport? {
        reports.addLast(clock.nowMillis to ServerReport(incarnation, isCold))
        return reports.lastOrNull { it.first <= clock.nowMillis - REPORT_LAG_MILLIS }?.second
    }
}

private const val REPORT_LAG_MILLIS = 1_000
