package org.bulrushtack.forward.lifecycle

import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import java.lang.management.ManagementFactory

/**
 * Logs when the network thread ran nothing for long, as when the process was frozen or garbage was collected.
 *
 * @param intervalMillis the interval at which ticks are due
 * @param collectionMillis the time that the process has spent on garbage collection so far
 */
internal class ThreadDelayLog(
    private val intervalMillis: Long,
    private val log: EventLog,
    private val collectionMillis: () -> Long = ::totalCollectionMillis,
) {
    private var tickedAtMillis: Long? = null
    private var collectedMillis = 0L

    /** Measures how late the tick at [nowMillis] is; a delay is logged with the collections since the last one. */
    fun tick(nowMillis: Long) {
        val lateMillis = tickedAtMillis?.let { nowMillis - it - intervalMillis } ?: 0
        tickedAtMillis = nowMillis
        if (lateMillis > LONG_DELAY_MILLIS) {
            val collected = collectionMillis()
            log.warn(
                "The network thread was held up.",
                LogField("late_millis", lateMillis),
                LogField("collection_millis", collected - collectedMillis),
            )
            collectedMillis = collected
        }
    }
}

private fun totalCollectionMillis(): Long =
    ManagementFactory.getGarbageCollectorMXBeans().sumOf { maxOf(0, it.collectionTime) }
private const val LONG_DELAY_MILLIS = 500L
