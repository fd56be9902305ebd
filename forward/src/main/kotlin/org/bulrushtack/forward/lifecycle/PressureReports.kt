package org.bulrushtack.forward.lifecycle

import org.bulrushtack.core.daemon.DaemonPressure
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/**
 * Tells the other daemons how far this one is pressed, so that directories name it less often.
 *
 * @param intervalMillis the interval at which ticks are due
 * @param memoryShare the part of the memory for bodies that is in use
 */
internal class PressureReports(
    private val daemons: DaemonTable,
    private val intervalMillis: Long,
    private val memoryShare: () -> Double,
    private val log: EventLog,
) {
    private val pressure = DaemonPressure()
    private var tickedAtMillis: Long? = null

    /** Measures how late the network thread runs. */
    fun tick(nowMillis: Long) {
        val latenessMillis = tickedAtMillis?.let { nowMillis - it - intervalMillis } ?: 0
        tickedAtMillis = nowMillis
        pressure.record(latenessMillis, memoryShare(), nowMillis)
        if (daemons.self.pressure != pressure.percent) {
            daemons.self = daemons.self.copy(pressure = pressure.percent)
            log.info("The pressure on this daemon changed.", LogField("percent", pressure.percent))
        }
    }
}
