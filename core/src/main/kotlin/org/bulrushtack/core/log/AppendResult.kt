package org.bulrushtack.core.log

/** How an append ended. */
public enum class AppendResult {
    /** The platform said that the records stand in the log. */
    ACCEPTED,

    /** The platform said that it did not take them, or no byte was sent. */
    REFUSED,

    /** No answer: the records may stand in the log. */
    UNKNOWN,
}
