package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind

/** Receives the result of a [SendAttempt]. */
internal interface SendAttemptListener {
    /** The attempt finished, or failed before its send. */
    fun onAttemptFinished(result: SendResult)

    /** The server shows no progress; the attempt goes on. */
    fun onAttemptInactive(reason: String)

    /** The attempt could not be placed. */
    fun onAttemptRefused(kind: ErrorKind, retryAfterMillis: Long)
}
