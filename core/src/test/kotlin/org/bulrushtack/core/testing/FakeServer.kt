package org.bulrushtack.core.testing

import org.bulrushtack.core.dispatch.RunningList
import org.bulrushtack.core.dispatch.ServerReport

/** A backend server in memory that counts what it held while it was cold. */
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
    var answersToLose = 0
    var leaving = false
    var incarnation = "$name/0"
        private set
    var mostWhileCold = 0
        private set
    var mostHeldTokens = 0L
        private set
    var lastStartAtMillis = 0L
        private set

    private var lives = 0
    private var coldSinceMillis = clock.nowMillis
    private val reports = ArrayDeque<Pair<Long, ServerReport>>()

    val isCold: Boolean get() = clock.nowMillis - coldSinceMillis < coldMillis

    fun start(request: RunningList.RunningRequest) {
        running[request.id] = request
        lastStartAtMillis = clock.nowMillis
        if (isCold) mostWhileCold = maxOf(mostWhileCold, running.size)
        mostHeldTokens = maxOf(mostHeldTokens, running.values.sumOf { it.reservedTokens })
    }

    fun countRun(requestId: String, key: String) {
        runsByRequest.merge(requestId, 1, Int::plus)
        runsByKey.merge(key, 1, Int::plus)
    }

    /** Starts anew, cold and empty, without a word. */
    fun restart() {
        lives++
        incarnation = "$name/$lives"
        coldSinceMillis = clock.nowMillis
        running.clear()
        onLost.values.toList().forEach { it() }
        onLost.clear()
    }

    fun list(): RunningList =
        RunningList(incarnation, capacityTokens, leaving = leaving, requests = running.values.toList())

    /** The report of a second ago. */
    fun report(): ServerReport? {
        reports.addLast(clock.nowMillis to ServerReport(incarnation, isCold))
        return reports.lastOrNull { it.first <= clock.nowMillis - REPORT_LAG_MILLIS }?.second
    }
}

private const val REPORT_LAG_MILLIS = 1_000
