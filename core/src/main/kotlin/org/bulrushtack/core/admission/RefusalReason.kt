package org.bulrushtack.core.admission

/**
 * Why a request got no placement.
 *
 * @property code the value in log lines, metrics and messages
 */
public enum class RefusalReason(
    public val code: String,
) {
    /** The service has no engines in the configuration. */
    NO_SERVICE("no-service"),

    /** No engine could take it before it had to be given up, as was known before that time. */
    NO_ROOM_IN_TIME("no-room-in-time"),

    /** It waited until it had to be given up. */
    WAIT_OVER("wait-over"),
    ;

    public companion object {
        /** The reason with [code]; [WAIT_OVER] for an unknown one. */
        public fun fromCode(code: String): RefusalReason = entries.firstOrNull { it.code == code } ?: WAIT_OVER
    }
}
