package org.bulrushtack.core.call

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RefusalStatus
import org.bulrushtack.core.error.RunState
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.CallKey

/** The part of the blackboard that holds the service calls this daemon accepted. Written by [CallController]. */
public class CallsRegion {
    /** Calls whose result is pending, by request identifier. */
    public val active: LinkedHashMap<String, ActiveCall> = LinkedHashMap()

    /** Claims that were abandoned before dispatch and may still reach the log, by record identifier. */
    public val abandoned: LinkedHashMap<String, CallKey> = LinkedHashMap()

    internal fun put(call: ActiveCall) {
        active[call.call.id] = call
    }

    /**
     * Completes [call] with an answer, unless its caller already got the error that its deadline passed. A service that
     * has got a call can't promise by a status that it hasn't run; the caller of one under a claim would make another.
     * An answer without a final status, which another daemon or an earlier version may pass on, is none.
     */
    internal fun answer(call: ActiveCall, answer: CallAnswer, replayed: Boolean): List<Action> {
        val detail = "The service responded with status ${answer.status}."
        val isClaimed = call.claimKey != null
        val isFinal = answer.status in FINAL_STATUSES
        return when {
            isClaimed && (!isFinal || RefusalStatus.promisesNotRun(answer.status)) ->
                fail(call, ErrorKind.OUTCOME_UNKNOWN, detail)
            !isFinal -> fail(call, ErrorKind.BACKEND_LOST, detail)
            else -> complete(call, Action.AnswerCall(requestId = call.call.id, answer = answer, replayed = replayed))
        }
    }

    /**
     * Completes [call] with an error, unless its caller already got the error that its deadline passed. A last attempt
     * that reached no server must not hide that an earlier one may have run.
     */
    internal fun fail(call: ActiveCall, kind: ErrorKind, detail: String = ""): List<Action> {
        val hidesRun = call.mayHaveRun && kind.runState == RunState.NO
        val problem = if (hidesRun) Problem(ErrorKind.BACKEND_LOST, detail = kind.text) else Problem(kind, detail)
        return complete(call, Action.FailCall(requestId = call.call.id, problem = problem))
    }

    private fun complete(call: ActiveCall, action: Action): List<Action> {
        active.remove(call.call.id)
        return if (call.callerAnswered) emptyList() else listOf(action)
    }
}

@Suppress("MagicNumber")
private val FINAL_STATUSES = 200..599
