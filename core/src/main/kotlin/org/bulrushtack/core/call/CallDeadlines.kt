package org.bulrushtack.core.call

import org.bulrushtack.core.call.ActiveCall.Stage
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.server.BackendServerDirectory

/** Fails calls that have waited too long or that the exit of the process ends, with the error that fits their stage. */
internal class CallDeadlines(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val claims: CallClaims,
) {
    private val region = blackboard.calls

    /** Checks all calls whose caller still waits. */
    fun check(nowMillis: Long): List<Action> = region.active.values
        .filter { !it.callerAnswered }
        .flatMap { active -> check(active = active, nowMillis = nowMillis) }

    /** Fails the calls that meet [condition] and whose caller still waits, as the process exits. */
    fun endAll(condition: (ActiveCall) -> Boolean): List<Action> = region.active.values
        .filter { !it.callerAnswered && condition(it) }
        .flatMap { active -> end(active) }

    /** A claim whose call was sent stays without an outcome, which tells other daemons that it is undecided. */
    private fun end(active: ActiveCall): List<Action> {
        val isRepeatable = active.claimKey == null
        return when (active.stage) {
            Stage.CLAIMING -> abandon(active)
            Stage.AWAITING_HOLDER -> region.fail(active, ErrorKind.CALL_UNDECIDED)
            Stage.READY -> {
                claims.release(active)
                region.fail(active, ErrorKind.DRAINING)
            }
            Stage.SENT -> region.fail(active, if (isRepeatable) ErrorKind.BACKEND_LOST else ErrorKind.OUTCOME_UNKNOWN)
        }
    }

    private fun check(active: ActiveCall, nowMillis: Long): List<Action> {
        val isExpired = active.call.deadlineAtMillis <= nowMillis
        return when (active.stage) {
            Stage.CLAIMING -> if (isExpired || claims.isTimedOut(active, nowMillis)) abandon(active) else emptyList()
            Stage.AWAITING_HOLDER -> {
                val isUndecided = isExpired || isHolderGone(active, nowMillis)
                if (isUndecided) region.fail(active, ErrorKind.CALL_UNDECIDED) else emptyList()
            }
            Stage.READY -> if (isExpired) failUnsent(active) else emptyList()
            Stage.SENT -> if (isExpired) failCaller(active) else emptyList()
        }
    }

    private fun abandon(active: ActiveCall): List<Action> {
        claims.abandon(active)
        return region.fail(active, ErrorKind.CLAIM_UNAVAILABLE)
    }

    private fun failUnsent(active: ActiveCall): List<Action> {
        claims.release(active)
        return region.fail(active, active.lastProblem?.kind ?: ErrorKind.QUEUE_TIMEOUT)
    }

    /** Tells the caller that the outcome is unknown; the outcome is still awaited and recorded. */
    private fun failCaller(active: ActiveCall): List<Action> {
        if (active.claimKey == null) return region.fail(active, ErrorKind.DEADLINE_EXCEEDED)
        region.put(active.copy(callerAnswered = true))
        return listOf(Action.FailCall(requestId = active.call.id, problem = Problem(ErrorKind.DEADLINE_EXCEEDED)))
    }

    private fun isHolderGone(active: ActiveCall, nowMillis: Long): Boolean {
        val claim = active.claimKey?.let { blackboard.log.projection.claims.find(it) } ?: return false
        val incarnation = when (claim.claimant) {
            blackboard.identity.name -> blackboard.identity.incarnation
            else -> blackboard.members.members[claim.claimant]?.digest?.incarnation
        }
        val isLive = directory.owners.isLive(name = claim.claimant, nowMillis = nowMillis)
        return !isLive || incarnation != claim.claimantIncarnation
    }
}
