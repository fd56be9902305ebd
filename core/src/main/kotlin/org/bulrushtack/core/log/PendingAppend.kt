package org.bulrushtack.core.log

/**
 * A record that is being appended to the log.
 *
 * @property deadlineAtMillis when the append is abandoned, or null to retry without limit
 * @property mayBeAppended whether the record may be in the log: an append was accepted, or its response was lost
 */
public data class PendingAppend(
    val record: LogRecord,
    val stage: Stage = Stage.WAITING,
    val nextAttemptAtMillis: Long = 0,
    val failures: Int = 0,
    val deadlineAtMillis: Long? = null,
    val mayBeAppended: Boolean = false,
) {
    /** The stage of the append. */
    public enum class Stage {
        /** To be sent with the next attempt. */
        WAITING,

        /** Sent; no response yet. */
        SENT,

        /** Accepted, but not read back from the log yet. */
        ACCEPTED,

        /** The response was lost; the log must be read to its tail before the next attempt. */
        UNKNOWN,
    }
}
