package org.bulrushtack.core.call

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.CallKey

/** The part of the blackboard that holds the service calls this daemon took. Written by [CallController]. */
public class CallsRegion {
    /** Calls that have not ended, by request identifier. */
    public val active: LinkedHashMap<String, ActiveCall> = LinkedHashMap()

    /** Claims that were given up before dispatch and may still reach the log, by record identifier. */
    public val abandoned: LinkedHashMap<String, CallKey> = LinkedHashMap()

    internal fun put(call: ActiveCall) {
        active[call.call.id] = call
    }

    /** Ends [call] with an answer, unless its caller was told before that its deadline had passed. */
    internal fun answer(call: ActiveCall, answer: CallAnswer, replayed: Boolean): List<Action> {
        active.remove(call.call.id)
        if (call.callerAnswered) return emptyList()
        return listOf(Action.AnswerCall(requestId = call.call.id, answer = answer, replayed = replayed))
    }

    /** Ends [call] with a problem, unless its caller was told before that its deadline had passed. */
    internal fun fail(call: ActiveCall, kind: ErrorKind): List<Action> {
        active.remove(call.call.id)
        if (call.callerAnswered) return emptyList()
        return listOf(Action.FailCall(requestId = call.call.id, problem = Problem(kind)))
    }
}
