package org.bulrushtack.core.log

/** The part of the blackboard that holds the log's state. Written by [LogController] and [AppendController]. */
public class LogRegion {
    /** The state that results from the applied entries. */
    public val projection: LogProjection = LogProjection()

    /** Entries that the current event applied, in order; empty for an event that applied none. */
    public var appliedEntries: List<AppliedEntry> = emptyList()

    /** The highest known tail of the log. */
    public var tailOffset: Long = 0

    /** The latest monotonic time at which [tailOffset] is known to have been the tail, or null before any is known. */
    public var tailKnownAtMillis: Long? = null

    /** Whether this daemon has ever applied the log up to a known tail; until then it admits no requests. */
    public var configured: Boolean = false

    /** The most recent entries, served to peers that can't reach the log. */
    public val recent: ArrayDeque<LogEntry> = ArrayDeque()

    /** Records that wait to be appended or whose append isn't confirmed yet, by identifier. */
    public val pending: LinkedHashMap<String, PendingAppend> = LinkedHashMap()

    /** The time since the tail was last known to be current, or null before any tail is known. */
    public fun tailAgeMillis(nowMillis: Long): Long? = tailKnownAtMillis?.let { nowMillis - it }

    /** Whether the log is applied up to a tail that was confirmed within [CONFIRMATION_MILLIS]. */
    public fun isConfirmed(nowMillis: Long): Boolean {
        val age = tailAgeMillis(nowMillis) ?: return false
        return age <= CONFIRMATION_MILLIS && projection.appliedOffset >= tailOffset
    }

    /** Queues [record] to be appended; it is retried until [deadlineAtMillis], or without limit if that is null. */
    public fun append(record: LogRecord, deadlineAtMillis: Long? = null) {
        pending[record.id] = PendingAppend(record = record, deadlineAtMillis = deadlineAtMillis)
    }

    public companion object {
        /** How long a known tail of the log confirms an ownership, in milliseconds. */
        public const val CONFIRMATION_MILLIS: Long = 3_000
    }
}
