package org.bulrushtack.core.exchange

/** The outcome of one send of a request to a backend server. */
public enum class SendOutcome(public val mayHaveRun: Boolean) {
    /** The whole answer reached the caller. */
    DELIVERED(mayHaveRun = true),

    /** No byte of the request can have reached the server. */
    NOT_SENT(mayHaveRun = false),

    /** The server reports that it did not run the request. */
    NOT_RUN(mayHaveRun = false),

    /** The server answered with an error of its own. */
    ANSWERED_WITH_FAILURE(mayHaveRun = true),

    /** The request was sent, but the answer is missing, incomplete or belongs to another request. */
    UNKNOWN(mayHaveRun = true),
}
