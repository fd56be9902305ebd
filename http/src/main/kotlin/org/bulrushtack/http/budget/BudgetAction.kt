package org.bulrushtack.http.budget

/**
 * What was done to a client for lack of a resource, or because it made no progress.
 *
 * @property address the client's IP number
 * @property heldBytes what was held for it
 */
public data class BudgetAction(
    val kind: Kind,
    val role: PortRole,
    val address: String,
    val heldBytes: Long,
) {
    /** The kinds of actions, with what was short or missing. */
    public enum class Kind {
        /** Its connection gave way to another one, since the port or the process has no more. */
        CLOSED_FOR_CONNECTION,

        /** Its connection was not taken. */
        NOT_ACCEPTED,

        /** Its unfinished request was refused, since others that hold less need the memory. */
        REFUSED_FOR_OTHERS,

        /** Its unfinished request was refused, since there is no memory for more of it. */
        REFUSED_FOR_MEMORY,

        /** Its unfinished request was refused, since it made no progress while memory was short. */
        REFUSED_AS_STALLED,

        /** It sent no complete headers in time. */
        HEADERS_LATE,

        /** It took no byte of its response in time. */
        RESPONSE_STALLED,
    }
}
