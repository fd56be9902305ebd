package org.bulrushtack.core.testing

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.route.EngineProfile

/** Plays a load against engines on a virtual clock; a [dispatcher] says where each prompt goes. */
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

    /** Plays [load] to its end and gives what became of each prompt. */
    fun play(load: List<FakePrompt>): List<Result> {
        val arrivals = ArrayDeque(load)
        var nowMillis = 0.0
        while (nowMillis < LONGEST_PLAY_MILLIS) {
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
        val perToken = model.readMillis(prompt.promptTokens) / prompt.promptTokens
        target.engines.forEachIndexed { index, engine ->
            engines[engine].add(FakeEngine.Part(prompt.id, index == 0, tokens, perToken), nowMillis)
        }
    }

    private fun endPass(engine: FakeEngine, nowMillis: Double) = engine.endPass(
        onRead = { part ->
            val left = partsLeft.getValue(part.promptId) - 1
            partsLeft[part.promptId] = left
            if (left == 0) {
                val prompt = prompts.getValue(part.promptId)
                val answer = FakeEngine.Answer(prompt.id, prompt.promptTokens, prompt.events)
                engines[firstEngine.getValue(prompt.id)].write(answer, nowMillis)
            }
        },
        onDone = { answer ->
            val prompt = prompts.getValue(answer.promptId)
            results.add(
                Result(
                    prompt = prompt,
                    firstEventMillis = answer.firstAtMillis - prompt.arrivesAtMillis,
                    longestPauseMillis = answer.longestPauseMillis,
                ),
            )
            dispatcher.ended(prompt.id, nowMillis.toLong())
        },
    )

    /** Where a prompt goes: the engine that writes its answer first, then those that read parts of it. */
    data class Target(
        val promptId: String,
        val engines: List<Int>,
    )

    /** Decides where prompts go. */
    interface Dispatcher {
        val isWaiting: Boolean

        fun submit(prompt: FakePrompt, nowMillis: Long): Target?

        fun review(nowMillis: Long): List<Target>

        fun ended(promptId: String, nowMillis: Long)
    }

    /** What became of one prompt. */
    data class Result(
        val prompt: FakePrompt,
        val firstEventMillis: Double,
        val longestPauseMillis: Double,
    ) {
        private val inTime: Boolean
            get() = firstEventMillis <= prompt.objectiveMillis && longestPauseMillis <= prompt.pauseMillis

        /** The share of its worth that it earned. */
        val earned: Double get() = if (inTime) 1.0 else LATE_SHARE
    }

    private companion object {
        const val LONGEST_PLAY_MILLIS = 120_000.0
        const val REVIEW_MILLIS = 20.0
        const val LATE_SHARE = 0.25
    }
}
