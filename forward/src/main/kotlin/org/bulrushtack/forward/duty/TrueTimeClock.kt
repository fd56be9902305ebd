package org.bulrushtack.forward.duty

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.ranked
import org.bulrushtack.core.duty.TrueTimeEstimate

/** True time as this daemon estimates it, from the wall clocks and estimates that daemons send with their syncs. */
internal class TrueTimeClock(
    private val daemons: DaemonTable,
    private val environment: DutyEnvironment,
) {
    private val thread = environment.thread
    private val estimate =
        TrueTimeEstimate(timeOfDayMillis = environment.timeOfDayMillis(), nowMillis = thread.nowMillis())

    /** This daemon's wall clock, for its sync requests. */
    val timeOfDayMillis: Long get() = environment.timeOfDayMillis()

    /** The estimate for sync replies, or null while there is none that others should adopt. */
    val announcedMillis: Long? get() = estimate.announcedMillis(thread.nowMillis())

    /** The estimated true time, in Unix milliseconds. */
    fun nowMillis(): Long = estimate.trueTimeMillis(thread.nowMillis())

    /** Takes in the wall clock that a sync request carries; 0 stands for none. */
    fun onRequest(daemon: String, timeOfDayMillis: Long) {
        if (timeOfDayMillis > 0) estimate.recordTimeOfDay(daemon, timeOfDayMillis, thread.nowMillis())
    }

    /** Takes in the estimate that a sync reply carries; 0 stands for none. */
    fun onReply(daemon: String, trueTimeMillis: Long, sentAtMillis: Long) {
        if (trueTimeMillis > 0) estimate.recordEstimate(daemon, trueTimeMillis, sentAtMillis, thread.nowMillis())
    }

    /** Renews the estimate. */
    fun tick() {
        val nowMillis = thread.nowMillis()
        val leads = daemons.ranked(nowMillis).take(ESTIMATING_LEADERS).any { it.name == daemons.self.name }
        estimate.update(environment.timeOfDayMillis(), nowMillis, leads)
    }
}

/** The placement leader and the next daemon in rank, with which all daemons sync. */
private const val ESTIMATING_LEADERS = 2
