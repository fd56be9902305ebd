package org.bulrushtack.core.log

/** The part of the blackboard that holds the log's state. Written by [LogController] and [AppendController]. */
public class LogRegion {
    /** The state that results from the applied entries. */
    public val projection: LogProjection = LogProjection()

    /** Entries that the current event applied, in order; empty for an event that applied none. */
    public var appliedEntries: List<AppliedEntry> = emptyList()

    /** The highest tail known. */
    public var tailOffset: Long = 0

    /** As of when, by the monotonic clock, [tailOffset] was the tail; null when no tail was ever known. */
    public var tailKnownAtMillis: Long? = null

    /** Whether this daemon has loaded a state that reached a tail; before that it admits nothing. */
    public var configured: Boolean = false

    /** The last entries, for peers that can't reach the log. */
    public val recent: ArrayDeque<LogEntry> = ArrayDeque()

    /** Records that wait to be appended or whose append is not settled, by identifier. */
    public val pending: LinkedHashMap<String, PendingAppend> = LinkedHashMap()

    /** The age of the knowledge of the tail, or null. */
    public fun tailAgeMillis(nowMillis: Long): Long? = tailKnownAtMillis?.let { nowMillis - it }

    /** Whether all records through a tail that is younger than the lease are applied. */
    public fun isConfirmed(nowMillis: Long): Boolean {
        val age = tailAgeMillis(nowMillis) ?: return false
        return age <= CONFIRMATION_MILLIS && projection.appliedOffset >= tailOffset
    }

    /** Asks for [record] to be appended, until [deadlineAtMillis] where that is given. */
    public fun append(record: LogRecord, deadlineAtMillis: Long? = null) {
        pending[record.id] = PendingAppend(record = record, deadlineAtMillis = deadlineAtMillis)
    }

    public companion object {
        /** How long the knowledge of the log's tail confirms an ownership, in milliseconds. */
        public const val CONFIRMATION_MILLIS: Long = 3_000
    }
}
