package org.bulrushtack.forward.quarantine

/** What is known of whether a backend server still runs. */
internal enum class Liveness {
    /** It has just responded. */
    ALIVE,

    /** It has ended, or another lifetime has taken its place. */
    ENDED,

    /** It did not respond, which may have other reasons; it may be asked again. */
    UNKNOWN,
}
