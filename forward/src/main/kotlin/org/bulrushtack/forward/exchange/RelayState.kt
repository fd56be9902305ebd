package org.bulrushtack.forward.exchange

/** Whether a relay takes more of a response. */
internal enum class RelayState {
    /** More can be relayed. */
    READY,

    /** The caller's connection is not writable; reading should pause. */
    BLOCKED,

    /** What was received can't be part of a response. */
    INVALID,
}
