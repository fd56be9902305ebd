package org.bulrushtack.core.platform

/** The platform gave no usable answer; [reason] says why. */
public data class PlatformFailure(
    val reason: String,
)
