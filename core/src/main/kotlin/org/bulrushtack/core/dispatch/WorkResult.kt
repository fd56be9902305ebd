package org.bulrushtack.core.dispatch

/**
 * How a dispatch ended.
 *
 * @property incarnation the server's incarnation as its answer named it, or null without an answer
 */
public data class WorkResult(
    val kind: Kind,
    val incarnation: String? = null,
) {
    /** What is known of the dispatch. */
    public enum class Kind {
        /** The server said that it ended, or refused it; it holds nothing for it. */
        FINISHED,

        /** No byte was sent. */
        NOT_SENT,

        /** The connection was lost; the server may still hold it. */
        LOST,
    }
}
