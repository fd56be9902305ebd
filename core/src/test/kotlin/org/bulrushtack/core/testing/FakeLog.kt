package org.bulrushtack.core.testing

import org.bulrushtack.core.log.AppendResult
import org.bulrushtack.core.log.LogEntry
import org.bulrushtack.core.log.LogRecord

/** The platform's log in memory. */
internal class FakeLog(
    private val clock: FakeClock,
) {
    val entries = mutableListOf<LogEntry>()

    /** No append and no read is answered; none takes effect. */
    var outage = false

    /** So many of the next appends take effect and are not answered. */
    var answersToLose = 0

    val tailOffset: Long get() = entries.size.toLong()

    fun append(records: List<LogRecord>): AppendResult {
        if (outage) return AppendResult.UNKNOWN
        records.forEach { entries.add(LogEntry(tailOffset + 1, clock.nowMillis, it)) }
        val lost = answersToLose > 0
        if (lost) answersToLose--
        return if (lost) AppendResult.UNKNOWN else AppendResult.ACCEPTED
    }

    fun after(offset: Long): List<LogEntry> = entries.drop(offset.toInt())
}
