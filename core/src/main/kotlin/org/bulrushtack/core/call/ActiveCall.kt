package org.bulrushtack.core.call

import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallKey

/**
 * A call that has not ended.
 *
 * @property claimKey what the log holds the claim under; null for an operation that may be repeated
 * @property claimId the identifier of this daemon's claim, once it made one
 * @property callerAnswered whether the caller's deadline passed while the outcome was open
 */
public data class ActiveCall(
    val call: ServiceCall,
    val stage: Stage,
    val claimKey: CallKey? = null,
    val claimId: String? = null,
    val attempt: Int = 0,
    val server: String? = null,
    val failedServers: Set<String> = emptySet(),
    val retryAtMillis: Long? = null,
    val lastProblem: Problem? = null,
    val callerAnswered: Boolean = false,
) {
    /** The call after its attempt failed. */
    internal fun withoutServer(): ActiveCall =
        copy(failedServers = failedServers + listOfNotNull(server), server = null)

    /** How far it has come. */
    public enum class Stage {
        /** This daemon's claim is on its way into the log. */
        CLAIMING,

        /** Another claim holds the key; its outcome is awaited. */
        FOLLOWING,

        /** It may be sent, and waits for a backend server. */
        READY,

        /** It was handed to the owner of a backend server. */
        SENT,
    }
}
