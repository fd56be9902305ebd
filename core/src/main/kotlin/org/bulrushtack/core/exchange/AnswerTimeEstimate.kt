package org.bulrushtack.core.exchange

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.core.route.Route

/**
 * An estimate of how long a request takes from its send until its caller has the whole answer.
 *
 * @property firstEventMillis the time to the first event of a stream
 * @property remainderMillis the time from the first event to the end of the answer
 */
public data class AnswerTimeEstimate(
    val firstEventMillis: Long,
    val remainderMillis: Long,
) {
    public companion object {
        /** The estimate for a request that may take all of the [deadlineMillis] that are left until its deadline. */
        public fun untilDeadline(deadlineMillis: Long): AnswerTimeEstimate =
            AnswerTimeEstimate(firstEventMillis = 0, remainderMillis = deadlineMillis)

        /** The estimate for a call of [route] to a plain service, whose answer has no events. */
        public fun ofCall(route: Route): AnswerTimeEstimate =
            AnswerTimeEstimate(firstEventMillis = route.objectiveMillis * CALL_OBJECTIVES, remainderMillis = 0)

        /** The estimate for a prompt of [shape] that at most [engines] engines of [profile] prefill together. */
        public fun ofPrompt(
            route: Route,
            shape: PromptShape,
            profile: EngineProfile,
            engines: Int,
        ): AnswerTimeEstimate {
            val model = EngineModel(profile)
            val fastestPrefillMillis = model.prefillMillis(shape.promptTokens) / maxOf(1, engines)
            return AnswerTimeEstimate(
                firstEventMillis = maxOf(route.objectiveMillis, fastestPrefillMillis.toLong()),
                remainderMillis = (model.decodeMillis(shape) * SHARED_ENGINE_FACTOR).toLong(),
            )
        }
    }
}

/** A server that is slow but works answers a call within this many objectives. */
private const val CALL_OBJECTIVES = 3

/** Other requests on the same engine slow down each step. */
private const val SHARED_ENGINE_FACTOR = 2
