package org.bulrushtack.standin.engine

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseStream
import org.bulrushtack.standin.StandInRouter
import java.util.zip.CRC32

/** One request in the batch of the engine. */
internal class EngineTask private constructor(
    val prompt: String,
    val promptTokens: Long,
    body: JsonNode,
    headers: HttpHeaderList,
    val arrivedAtMillis: Long,
    private val stream: ResponseStream,
) {
    val id: String = headers.find("x-request-id").orEmpty()
    val owner: String = headers.find("x-owner").orEmpty()
    val ownerIncarnation: String = headers.find("x-owner-incarnation").orEmpty()
    val maximumTokens: Long = body["max_tokens"].asLong()
    val priority: Int = body.path("priority").asInt()

    private val resumedTokens = body.path("resume_from").asLong()

    /** Prefilled tokens of the prompt and of the resumed answer. */
    var prefilledTokens = 0L

    /** Tokens of the answer so far, including the resumed ones. */
    var generatedTokens = resumedTokens
        private set

    /** Whether the client has disconnected. */
    @Volatile
    var isClientDisconnected = false

    private val checksum = CRC32().also { it.update(prompt.toByteArray()) }.value.toString(CHECKSUM_RADIX)
    private var tokenCredit = 0.0

    /** Tokens that remain to be prefilled before the next token can be decoded. */
    val remainingPrefillTokens: Long get() = promptTokens + resumedTokens - prefilledTokens

    /** Whether the answer is complete. */
    val isComplete: Boolean get() = generatedTokens >= maximumTokens

    /** Tokens of memory that it holds. */
    val heldTokens: Long get() = prefilledTokens + (generatedTokens - resumedTokens)

    /** Adds [tokens] to the decode credit and emits the whole tokens of it. */
    fun decode(tokens: Double) {
        tokenCredit += tokens
        val count = minOf(tokenCredit.toLong(), maximumTokens - generatedTokens)
        if (count < 1 || !stream.isWritable) return
        tokenCredit -= count
        emit(count)
    }

    /** Emits [count] tokens in one event. */
    fun emit(count: Long) {
        val text = (generatedTokens until generatedTokens + count).joinToString("") { "t$it-$checksum " }
        val event = event(text = text, reason = null).put("offset", generatedTokens).put("tokens", count)
        generatedTokens += count
        if (!isClientDisconnected) stream.write("data: $event\n\n".toByteArray())
    }

    /** Finishes the answer. */
    fun finish() {
        if (isClientDisconnected) return
        val event = event(text = "", reason = "length").put("total_tokens", generatedTokens)
        stream.write("data: $event\n\ndata: [DONE]\n\n".toByteArray())
        stream.end()
    }

    /** Aborts the connection. */
    fun abort() = stream.abort()

    private fun event(text: String, reason: String?): ObjectNode {
        val event = StandInRouter.mapper.createObjectNode().put("id", id).put("object", "text_completion")
        event.putArray("choices").addObject().put("index", 0).put("text", text).put("finish_reason", reason)
        return event
    }

    companion object {
        /** Creates the task for the request of [exchange]. */
        fun create(exchange: HttpExchange, body: JsonNode, stream: ResponseStream, nowMillis: Long): EngineTask {
            val prompt = body["prompt"].asText()
            val task = EngineTask(
                prompt = prompt,
                promptTokens = (prompt.length + CHARACTERS_PER_TOKEN - 1L) / CHARACTERS_PER_TOKEN,
                body = body,
                headers = exchange.request.headers,
                arrivedAtMillis = nowMillis,
                stream = stream,
            )
            exchange.onClosed { task.isClientDisconnected = true }
            return task
        }
    }
}

private const val CHECKSUM_RADIX = 16
private const val CHARACTERS_PER_TOKEN = 4
