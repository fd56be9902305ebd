package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind

/** Hears how a try of a request ended. */
internal interface SendAttemptListener {
    /** The try was made, or broke off before its send. */
    fun attemptEnded(end: SendEnd)

    /** There was no place for it. */
    fun attemptRefused(kind: ErrorKind, retryAfterMillis: Long)
}
