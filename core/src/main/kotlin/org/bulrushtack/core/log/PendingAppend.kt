package org.bulrushtack.core.log

/**
 * A record on its way into the log.
 *
 * @property deadlineAtMillis when its requester no longer waits, or null to try for ever
 * @property mayBeAppended whether an earlier answer was lost, so that the record may stand in the log
 */
public data class PendingAppend(
    val record: LogRecord,
    val stage: Stage = Stage.WAITING,
    val nextAttemptAtMillis: Long = 0,
    val failures: Int = 0,
    val deadlineAtMillis: Long? = null,
    val mayBeAppended: Boolean = false,
) {
    /** How far it has come. */
    public enum class Stage {
        /** To be sent at the next try. */
        WAITING,

        /** Sent, not answered. */
        SENT,

        /** Accepted, not read back yet. */
        ACCEPTED,

        /** The answer was lost; the log is to be read to its tail before the next try. */
        UNKNOWN,
    }
}
