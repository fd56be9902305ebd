package org.bulrushtack.core.dispatch

/**
 * The result of a dispatch.
 *
 * @property incarnation the server's incarnation as named in its response, or null without a response
 */
public data class WorkResult(
    val kind: Kind,
    val incarnation: String? = null,
) {
    /** What is known of the request at the end of its dispatch. */
    public enum class Kind {
        /** The server finished or refused the request, and holds nothing for it. */
        FINISHED,

        /** No byte was sent. */
        NOT_SENT,

        /** The connection was lost; the server may still hold the request. */
        LOST,
    }
}
