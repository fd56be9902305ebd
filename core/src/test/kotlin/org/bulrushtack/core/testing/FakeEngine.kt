package org.bulrushtack.core.testing

import org.bulrushtack.core.route.EngineProfile

/**
 * A model engine on a virtual clock. It works in passes: each takes a stride of steps while requests decode, and
 * prefills prompts in chunks. A request decodes from the pass after its prefill on.
 */
internal class FakeEngine(
    private val profile: EngineProfile,
) {
    private val prefilling = ArrayDeque<Part>()
    private val decoding = mutableListOf<Answer>()

    /** The end of the current pass, or null while the engine is idle. */
    var passEndsAtMillis: Double? = null
        private set
    private var passDecoding = emptyList<Answer>()
    private var passPrefilling = emptyList<Part>()

    /** The number of requests that occupy a slot. */
    val inFlight: Int get() = decoding.size + prefilling.count { it.decodesHere }

    /** Queues a part; a part that is prefilled for another engine goes ahead of everything that is queued. */
    fun add(part: Part, nowMillis: Double) {
        val position = if (part.decodesHere) prefilling.size else 0
        prefilling.add(position, part)
        if (passEndsAtMillis == null) startPass(nowMillis)
    }

    fun decode(answer: Answer, nowMillis: Double) {
        decoding.add(answer)
        if (passEndsAtMillis == null) startPass(nowMillis)
    }

    /** Completes the current pass and starts the next. */
    fun endPass(onPrefilled: (Part) -> Unit, onCompleted: (Answer) -> Unit) {
        val nowMillis = checkNotNull(passEndsAtMillis)
        passDecoding.forEach { it.emit(nowMillis) }
        passDecoding.filter { it.isComplete }.forEach {
            decoding.remove(it)
            onCompleted(it)
        }
        passEndsAtMillis = null
        passPrefilling.filter { it.leftTokens <= 0 }.forEach {
            prefilling.remove(it)
            onPrefilled(it)
        }
        if (passEndsAtMillis == null) startPass(nowMillis)
    }

    private fun startPass(nowMillis: Double) {
        if (prefilling.isEmpty() && decoding.isEmpty()) return
        passDecoding = decoding.toList()
        val context = passDecoding.sumOf { it.contextTokens } / 1_000.0
        val step = profile.stepMillis + passDecoding.size * profile.requestMillis + context * profile.contextMillis
        val steps = if (passDecoding.isEmpty()) 1 else profile.stride
        var prefillMillis = 0.0
        var budget = steps.toDouble() * profile.chunkTokens
        passPrefilling = prefilling.filter { part ->
            val tokens = minOf(budget, part.leftTokens)
            budget -= tokens
            part.leftTokens -= tokens
            prefillMillis += tokens * part.millisPerToken
            tokens > 0
        }
        passEndsAtMillis = nowMillis + steps * step + prefillMillis
    }

    /** A part of a prompt that one engine prefills. */
    class Part(
        val promptId: String,
        val decodesHere: Boolean,
        var leftTokens: Double,
        val millisPerToken: Double,
    )

    /** An answer that one engine decodes. */
    class Answer(
        val promptId: String,
        val contextTokens: Long,
        private val events: Int,
    ) {
        private var emitted = 0
        var firstAtMillis = Double.MAX_VALUE
            private set
        var longestTokenGapMillis = 0.0
            private set
        private var lastAtMillis = 0.0

        val isComplete: Boolean get() = emitted >= events

        fun emit(nowMillis: Double) {
            if (emitted == 0) firstAtMillis = nowMillis
            if (emitted > 0) longestTokenGapMillis = maxOf(longestTokenGapMillis, nowMillis - lastAtMillis)
            lastAtMillis = nowMillis
            emitted += 1
        }
    }
}
