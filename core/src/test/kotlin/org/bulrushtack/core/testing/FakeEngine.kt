package org.bulrushtack.core.testing

import org.bulrushtack.core.route.EngineProfile

/**
 * A model engine on a virtual clock. It works in passes: each takes a stride of steps when requests write, and reads
 * prompts in pieces in between. A request writes from the pass after its prompt was read.
 */
internal class FakeEngine(
    private val profile: EngineProfile,
) {
    private val reading = ArrayDeque<Part>()
    private val writing = mutableListOf<Answer>()

    /** The end of the pass under way, or null while the engine is idle. */
    var passEndsAtMillis: Double? = null
        private set
    private var passWriters = emptyList<Answer>()
    private var passRead = emptyList<Part>()

    /** Requests that hold a slot. */
    val inFlight: Int get() = writing.size + reading.count { it.writesHere }

    /** A part that is read for another engine goes ahead of prompts of its own. */
    fun add(part: Part, nowMillis: Double) {
        val position = if (part.writesHere) reading.size else reading.count { !it.writesHere }
        reading.add(position, part)
        if (passEndsAtMillis == null) startPass(nowMillis)
    }

    fun write(answer: Answer, nowMillis: Double) {
        writing.add(answer)
        if (passEndsAtMillis == null) startPass(nowMillis)
    }

    /** Ends the pass under way and starts the next. */
    fun endPass(onRead: (Part) -> Unit, onDone: (Answer) -> Unit) {
        val nowMillis = checkNotNull(passEndsAtMillis)
        passWriters.forEach { it.emit(nowMillis) }
        passWriters.filter { it.isDone }.forEach {
            writing.remove(it)
            onDone(it)
        }
        passEndsAtMillis = null
        passRead.filter { it.leftTokens <= 0 }.forEach {
            reading.remove(it)
            onRead(it)
        }
        if (passEndsAtMillis == null) startPass(nowMillis)
    }

    private fun startPass(nowMillis: Double) {
        if (reading.isEmpty() && writing.isEmpty()) return
        passWriters = writing.toList()
        val context = passWriters.sumOf { it.contextTokens } / 1_000.0
        val step = profile.stepMillis + passWriters.size * profile.requestMillis + context * profile.contextMillis
        val steps = if (passWriters.isEmpty()) 1 else profile.stride
        var readMillis = 0.0
        var budget = steps.toDouble() * profile.chunkTokens
        passRead = reading.filter { part ->
            val tokens = minOf(budget, part.leftTokens)
            budget -= tokens
            part.leftTokens -= tokens
            readMillis += tokens * part.millisPerToken
            tokens > 0
        }
        passEndsAtMillis = nowMillis + steps * step + readMillis
    }

    /** A part of a prompt that one engine reads. */
    class Part(
        val promptId: String,
        val writesHere: Boolean,
        var leftTokens: Double,
        val millisPerToken: Double,
    )

    /** An answer that one engine writes. */
    class Answer(
        val promptId: String,
        val contextTokens: Long,
        private val events: Int,
    ) {
        private var emitted = 0
        var firstAtMillis = Double.MAX_VALUE
            private set
        var longestPauseMillis = 0.0
            private set
        private var lastAtMillis = 0.0

        val isDone: Boolean get() = emitted >= events

        fun emit(nowMillis: Double) {
            if (emitted == 0) firstAtMillis = nowMillis
            if (emitted > 0) longestPauseMillis = maxOf(longestPauseMillis, nowMillis - lastAtMillis)
            lastAtMillis = nowMillis
            emitted += 1
        }
    }
}
