package org.bulrushtack.forward.exchange

import java.io.ByteArrayOutputStream

/** Collects the body of a server's error response, which is passed on only if it is complete. */
internal class FailureBody(
    private val maximumBytes: () -> Int,
) {
    private val body = ByteArrayOutputStream()

    /** Adds [bytes]; a body beyond the limit is invalid. */
    fun accept(bytes: ByteArray): RelayState {
        body.writeBytes(bytes)
        return if (body.size() <= maximumBytes()) RelayState.READY else RelayState.INVALID
    }

    /** What was collected. */
    fun toByteArray(): ByteArray = body.toByteArray()
}
