package org.bulrushtack.core.testing

import org.bulrushtack.core.log.AppendResult
import org.bulrushtack.core.log.LogEntry
import org.bulrushtack.core.log.LogRecord

/** An in-memory implementation of the platform's log. */
internal class FakeLog(
    private val clock: FakeClock,
) {
    val entries = mutableListOf<LogEntry>()

    /** Whether the log is unavailable: no append or read gets a response, and none takes effect. */
    var outage = false

    /** The number of subsequent appends that take effect but whose response is lost. */
    var responsesToLose = 0

    val tailOffset: Long get() = entries.size.toLong()

    fun append(records: List<LogRecord>): AppendResult {
        if (outage) return AppendResult.UNKNOWN
        records.forEach { entries.add(LogEntry(tailOffset + 1, clock.nowMillis, it)) }
        val lost = responsesToLose > 0
        if (lost) responsesToLose--
        return if (lost) AppendResult.UNKNOWN else AppendResult.ACCEPTED
    }

    fun after(offset: Long): List<LogEntry> = entries.drop(offset.toInt())
}
