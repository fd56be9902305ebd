package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind

/** Hears where a try goes, or that it goes nowhere. */
internal interface AttemptPlaceListener {
    /** There is a place. */
    fun placed(target: SendTarget)

    /** There is none; where waiting helps, it does after [retryAfterMillis]. */
    fun refused(kind: ErrorKind, retryAfterMillis: Long)
}
