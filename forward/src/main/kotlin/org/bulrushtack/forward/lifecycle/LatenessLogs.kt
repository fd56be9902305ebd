package org.bulrushtack.forward.lifecycle

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.peer.LagLog
import org.bulrushtack.forward.store.ConfigurationStatus
import org.bulrushtack.forward.store.ConfirmationLog

/** The logs and gauges that tell why a daemon knows of changes too late. */
internal class LatenessLogs(
    private val status: ConfigurationStatus,
    private val delays: ThreadDelayLog,
    private val confirmations: ConfirmationLog,
    private val lags: LagLog,
    private val clock: MonotonicClock,
) {
    /** Logs what has changed; called at the interval of the daemon's ticks. */
    fun tick(nowMillis: Long) {
        delays.tick(nowMillis)
        confirmations.tick(nowMillis)
        lags.tick(nowMillis)
    }

    /** Registers the gauges in [metrics]; the ages are read at each scrape. */
    fun registerGauges(metrics: ForwardMetrics) {
        val prefix = "bulrushtack.forward.configuration"
        metrics.gauge("$prefix.version") { knowledge().version ?: NONE }
        metrics.gauge("$prefix.age") { knowledge().knownMillis ?: NONE }
        metrics.gauge("$prefix.applied.age") { knowledge().appliedMillis ?: NONE }
        metrics.gauge("$prefix.application") { status.applicationMillis }
        metrics.gauge("$prefix.late") { status.lateCount }
        metrics.gauge("bulrushtack.forward.knowledge.behind") { lags.behindMillis(clock.nowMillis()) }
    }

    private fun knowledge() = status.at(clock.nowMillis())
}

private const val NONE = -1
