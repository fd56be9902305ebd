package org.bulrushtack.core.testing

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.route.EngineProfile

/** Simulates engines under a load on a virtual clock; [dispatcher] selects the engines of each prompt. */
internal class FakeFleet(
    private val profile: EngineProfile,
    size: Int,
    private val dispatcher: Dispatcher,
) {
    private val engines = List(size) { FakeEngine(profile) }
    private val model = EngineModel(profile)
    private val partsLeft = HashMap<String, Int>()
    private val prompts = HashMap<String, FakePrompt>()
    private val firstEngine = HashMap<String, Int>()
    private val results = mutableListOf<Result>()

    /** Runs [load] to completion and returns the result of each prompt. */
    fun run(load: List<FakePrompt>): List<Result> {
        val arrivals = ArrayDeque(load)
        var nowMillis = 0.0
        while (nowMillis < MAXIMUM_RUN_MILLIS) {
            val arrival = arrivals.firstOrNull()?.arrivesAtMillis?.toDouble() ?: Double.MAX_VALUE
            val passEnd = engines.mapNotNull { it.passEndsAtMillis }.minOrNull() ?: Double.MAX_VALUE
            val review = if (dispatcher.isWaiting) nowMillis + REVIEW_MILLIS else Double.MAX_VALUE
            val next = minOf(arrival, passEnd, review)
            if (next == Double.MAX_VALUE) break
            nowMillis = next
            if (next == arrival) arrive(arrivals.removeFirst(), nowMillis)
            engines.filter { it.passEndsAtMillis == next }.forEach { endPass(it, nowMillis) }
            dispatcher.review(nowMillis.toLong()).forEach { start(it, nowMillis) }
        }
        return results
    }

    private fun arrive(prompt: FakePrompt, nowMillis: Double) {
        prompts[prompt.id] = prompt
        dispatcher.submit(prompt, nowMillis.toLong())?.let { start(it, nowMillis) }
    }

    private fun start(target: Target, nowMillis: Double) {
        val prompt = prompts.getValue(target.promptId)
        val count = target.engines.size
        partsLeft[prompt.id] = count
        firstEngine[prompt.id] = target.engines.first()
        val tokens = prompt.promptTokens.toDouble() / count
        val perToken = model.prefillMillis(prompt.promptTokens) / prompt.promptTokens
        target.engines.forEachIndexed { index, engine ->
            engines[engine].add(FakeEngine.Part(prompt.id, index == 0, tokens, perToken), nowMillis)
        }
    }

    private fun endPass(engine: FakeEngine, nowMillis: Double) = engine.endPass(
        onPrefilled = { part ->
            val left = partsLeft.getValue(part.promptId) - 1
            partsLeft[part.promptId] = left
            if (left == 0) {
                val prompt = prompts.getValue(part.promptId)
                val answer = FakeEngine.Answer(prompt.id, prompt.promptTokens, prompt.events)
                engines[firstEngine.getValue(prompt.id)].decode(answer, nowMillis)
            }
        },
        onCompleted = { answer ->
            val prompt = prompts.getValue(answer.promptId)
            results.add(
                Result(
                    prompt = prompt,
                    timeToFirstTokenMillis = answer.firstAtMillis - prompt.arrivesAtMillis,
                    longestTokenGapMillis = answer.longestTokenGapMillis,
                ),
            )
            dispatcher.completed(prompt.id, nowMillis.toLong())
        },
    )

    /** The engines of a prompt: first the one that decodes its answer, then those that prefill parts of it. */
    data class Target(
        val promptId: String,
        val engines: List<Int>,
    )

    /** Selects the engines of prompts. */
    interface Dispatcher {
        val isWaiting: Boolean

        fun submit(prompt: FakePrompt, nowMillis: Long): Target?

        fun review(nowMillis: Long): List<Target>

        fun completed(promptId: String, nowMillis: Long)
    }

    /** The measured times of one prompt. */
    data class Result(
        val prompt: FakePrompt,
        val timeToFirstTokenMillis: Double,
        val longestTokenGapMillis: Double,
    ) {
        private val inTime: Boolean
            get() = timeToFirstTokenMillis <= prompt.objectiveMillis && longestTokenGapMillis <= prompt.tokenGapMillis

        /** The share of its worth that the prompt earned. */
        val earned: Double get() = if (inTime) 1.0 else LATE_SHARE
    }

    private companion object {
        const val MAXIMUM_RUN_MILLIS = 120_000.0
        const val REVIEW_MILLIS = 20.0
        const val LATE_SHARE = 0.25
    }
}
