package org.bulrushtack.core.scaling

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.route.EngineProfile

/** Computes the work of a request with the figures of an engine. */
public object RequestWork {
    /**
     * The work of a prompt of [shape] whose events may be [tokenGapMillis] apart. Token counts come from callers, so
     * they are limited: a wrong one must not outweigh all other requests.
     */
    public fun of(shape: PromptShape, tokenGapMillis: Long, profile: EngineProfile): EngineWork {
        val memoryTokens = profile.memoryTokens.coerceIn(1, Int.MAX_VALUE.toLong())
        val limited = shape.copy(
            promptTokens = shape.promptTokens.coerceIn(0, MAXIMUM_ENGINES_OF_MEMORY * memoryTokens),
            answerTokens = shape.answerTokens.coerceIn(0, memoryTokens),
        )
        val model = EngineModel(profile)
        val prefillMillis = model.prefillMillis(limited.promptTokens)
        val millis = prefillMillis + model.decodeShareMillis(limited, tokenGapMillis)
        return when {
            !millis.isFinite() -> EngineWork.NONE
            prefillMillis > LONG_PREFILL_MILLIS -> EngineWork(short = 0.0, long = millis)
            else -> EngineWork(short = millis, long = 0.0)
        }
    }
}

/** The largest prompts that callers send need the memory of three to four engines. */
private const val MAXIMUM_ENGINES_OF_MEMORY = 4L

/** Longer than the prefill of any short prompt, and shorter than that of any prompt split across several engines. */
private const val LONG_PREFILL_MILLIS = 300.0
