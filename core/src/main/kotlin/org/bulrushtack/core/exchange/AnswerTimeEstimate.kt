package org.bulrushtack.core.exchange

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.core.route.Route

/** Estimates how long a request takes from its send until its caller has the whole answer, in milliseconds. */
public object AnswerTimeEstimate {
    /** The estimate for a call of [route] to a plain service. */
    public fun ofCall(route: Route): Long = route.objectiveMillis * CALL_OBJECTIVES

    /** The estimate for a prompt of [shape] that at most [engines] engines of [profile] prefill together. */
    public fun ofPrompt(route: Route, shape: PromptShape, profile: EngineProfile, engines: Int): Long {
        val model = EngineModel(profile)
        val fastestPrefillMillis = model.prefillMillis(shape.promptTokens) / maxOf(1, engines)
        val firstEventMillis = maxOf(route.objectiveMillis.toDouble(), fastestPrefillMillis)
        return (firstEventMillis + model.decodeMillis(shape) * SHARED_ENGINE_FACTOR).toLong()
    }
}

/** A server that is slow but works answers a call within this many objectives. */
private const val CALL_OBJECTIVES = 3

/** Other requests on the same engine slow down each step. */
private const val SHARED_ENGINE_FACTOR = 2
