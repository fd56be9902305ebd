package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind

/** Receives the result of an [AttemptPlacement]. */
internal interface AttemptPlacementListener {
    /** The attempt was placed on [target]. */
    fun onPlaced(target: SendTarget)

    /** The attempt could not be placed; a retry may succeed after [retryAfterMillis], if [kind] allows one. */
    fun onRefused(kind: ErrorKind, retryAfterMillis: Long)
}
