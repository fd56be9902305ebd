package org.bulrushtack.core.log

/** The result of an append. */
public enum class AppendResult {
    /** The platform confirmed that the records are in the log. */
    ACCEPTED,

    /** The platform rejected the records, or no byte was sent. */
    REFUSED,

    /** No response arrived; the records may be in the log. */
    UNKNOWN,
}
