package org.bulrushtack.core.exchange

/** How one send of a request to a backend server ended. */
public enum class SendOutcome(public val mayHaveRun: Boolean) {
    /** The whole answer reached the caller. */
    DELIVERED(mayHaveRun = true),

    /** No byte of the request can have reached the server. */
    NOT_SENT(mayHaveRun = false),

    /** The server says that it did not run the request. */
    NOT_RUN(mayHaveRun = false),

    /** The server answered with a failure of its own. */
    ANSWERED_WITH_FAILURE(mayHaveRun = true),

    /** The request was sent, and the answer is missing, broken or not its own. */
    UNKNOWN(mayHaveRun = true),
}
