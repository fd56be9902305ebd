package org.bulrushtack.forward.duty

import org.bulrushtack.forward.DutySettings
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.wire.DutyCodec
import kotlin.random.Random

/** The parts of a daemon that orders servers while it holds the duties. */
internal class ScalingDuty private constructor(
    val task: ScaleTask,
    val contribution: DemandContribution,
) {
    companion object {
        /** Creates the parts; null where no servers are ordered from here. */
        @Suppress("LongParameterList")
        fun create(
            settings: DutySettings?,
            codec: DutyCodec?,
            state: ForwardState,
            serversAgeMillis: () -> Long,
            random: Random,
            metrics: ForwardMetrics,
            log: EventLog,
        ): ScalingDuty? {
            if (settings == null || codec?.ordersServers(settings.names) != true) return null
            val fleet = ScaledFleet(state = state, serversAgeMillis = serversAgeMillis)
            val task = ScaleTask(
                codec = codec,
                fleet = fleet,
                callIntervalMillis = callIntervalMillis(settings.callsPerSecond),
                random = random,
                gauges = ScaleGauges(metrics),
                log = ScaleLog(log),
            )
            return ScalingDuty(task = task, contribution = DemandContribution(state, task.collector))
        }

        private fun callIntervalMillis(callsPerSecond: Double): Long =
            (MILLIS_FOR_TWO_CALLS / maxOf(LEAST_CALLS_PER_SECOND, callsPerSecond)).toLong()
    }
}

/** Orders use at most half of the calls that the platform accepts. */
private const val MILLIS_FOR_TWO_CALLS = 2_000.0

/** Keeps the interval finite. */
private const val LEAST_CALLS_PER_SECOND = 0.01
