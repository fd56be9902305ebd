package org.bulrushtack.core.call

import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RunState
import org.bulrushtack.core.log.CallKey

/**
 * A call whose result is still pending.
 *
 * @property claimKey the key of the claim in the log; null for a repeatable operation
 * @property claimId the identifier of this daemon's claim record; null before one was appended
 * @property retryAtMillis when to retry, or in [Stage.CLAIMING] when the claim times out
 * @property mayHaveRun whether an earlier attempt may have reached a backend server
 * @property callerAnswered whether the caller got an error because its deadline passed while the outcome was open
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
    val mayHaveRun: Boolean = false,
    val callerAnswered: Boolean = false,
) {
    /** Returns the call after its current attempt failed with [problem], with its server moved to [failedServers]. */
    internal fun afterFailedAttempt(problem: Problem): ActiveCall = copy(
        failedServers = failedServers + listOfNotNull(server),
        server = null,
        mayHaveRun = mayHaveRun || problem.kind.runState != RunState.NO,
    )

    /** The progress of a call. */
    public enum class Stage {
        /** This daemon's claim is being appended to the log. */
        CLAIMING,

        /** This daemon has no claim and waits for the outcome of the claim that holds the key. */
        AWAITING_HOLDER,

        /** The call may be dispatched and waits for a backend server. */
        READY,

        /** The call was sent to the owner of a backend server. */
        SENT,
    }
}
