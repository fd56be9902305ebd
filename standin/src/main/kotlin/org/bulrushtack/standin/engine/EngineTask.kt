package org.bulrushtack.standin.engine

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.ResponseStream
import org.bulrushtack.standin.StandInServer
import java.util.zip.CRC32

/** One request that the engine holds. */
internal class EngineTask(
    val id: String,
    val owner: String,
    val ownerIncarnation: String,
    val prompt: String,
    val promptTokens: Long,
    val maximumTokens: Long,
    resumeFrom: Long,
    val priority: Int,
    val arrivedAtMillis: Long,
    private val exchange: HttpExchange,
    private val stream: ResponseStream,
) {
    /** Tokens of the prompt and of the resumed answer that were read. */
    var prefilled = 0L

    /** Tokens of the answer so far. */
    var generated = resumeFrom
        private set

    /** Whether the client went away. */
    @Volatile
    var clientGone = false

    private val checksum = CRC32().also { it.update(prompt.toByteArray()) }.value.toString(RADIX)
    private var earned = 0.0

    init {
        exchange.onClosed { clientGone = true }
    }

    /** What has to be read before the next token. */
    val toPrefill: Long get() = promptTokens + resumedTokens - prefilled

    /** Whether the answer is whole. */
    val isDone: Boolean get() = generated >= maximumTokens

    /** Memory that it holds. */
    val heldTokens: Long get() = prefilled + (generated - resumedTokens)

    private val resumedTokens = resumeFrom

    /** Emits [tokens] more tokens, in part earned in earlier steps. */
    fun decode(tokens: Double) {
        earned += tokens
        val count = minOf(earned.toLong(), maximumTokens - generated)
        if (count < 1 || !stream.isWritable) return
        earned -= count
        emit(count)
    }

    /** Emits [count] tokens at once. */
    fun emit(count: Long) {
        val text = (generated until generated + count).joinToString("") { "t$it-$checksum " }
        val event = StandInServer.mapper.createObjectNode()
            .put("offset", generated)
            .put("tokens", count)
            .put("text", text)
        generated += count
        if (!clientGone) stream.write("data: $event\n\n".toByteArray())
    }

    /** Ends the answer. */
    fun finish() {
        if (clientGone) return
        val event = StandInServer.mapper.createObjectNode()
            .put("finish_reason", "length")
            .put("total_tokens", generated)
        stream.write("data: $event\n\ndata: [DONE]\n\n".toByteArray())
        stream.end()
    }

    /** Breaks the connection off. */
    fun abort() = stream.abort()
}

private const val RADIX = 16
