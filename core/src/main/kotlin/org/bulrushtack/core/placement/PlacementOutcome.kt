package org.bulrushtack.core.placement

/** The outcome of a request at the engine on which it was placed. */
public enum class PlacementOutcome {
    /** It completed successfully. */
    SUCCEEDED,

    /** The server aborted it, timed out or was unreachable. */
    FAILED,

    /** The server answered with an error of its own. */
    ANSWERED_WITH_FAILURE,

    /** The server rejected it without running it. */
    REJECTED,

    /** The caller disconnected or the deadline passed; this is no indication of the server's health. */
    ABANDONED,
}
