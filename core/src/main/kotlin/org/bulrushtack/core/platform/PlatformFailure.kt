package org.bulrushtack.core.platform

/** The platform returned no usable response; [reason] says why. */
public data class PlatformFailure(
    val reason: String,
)
