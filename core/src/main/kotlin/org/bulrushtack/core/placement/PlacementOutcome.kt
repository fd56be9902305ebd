package org.bulrushtack.core.placement

/** How a request ended at the engine where it was placed. */
public enum class PlacementOutcome {
    /** It ended well. */
    SUCCEEDED,

    /** The server broke it off, stayed silent or could not be reached. */
    FAILED,

    /** The server answered with a failure of its own. */
    ANSWERED_WITH_FAILURE,

    /** The server turned it away without running it. */
    REJECTED,

    /** The caller left or the deadline passed; it says nothing of the server. */
    ABANDONED,
}
