package org.bulrushtack.standin.engine

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseStream
import org.bulrushtack.standin.StandInServer
import java.util.zip.CRC32

/** One request that the engine holds. */
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

    /** Tokens of the prompt and of the resumed answer that were read. */
    var prefilled = 0L

    /** Tokens of the answer so far. */
    var generated = resumedTokens
        private set

    /** Whether the client went away. */
    @Volatile
    var clientGone = false

    private val checksum = CRC32().also { it.update(prompt.toByteArray()) }.value.toString(RADIX)
    private var earned = 0.0

    /** What has to be read before the next token. */
    val toPrefill: Long get() = promptTokens + resumedTokens - prefilled

    /** Whether the answer is whole. */
    val isDone: Boolean get() = generated >= maximumTokens

    /** Memory that it holds. */
    val heldTokens: Long get() = prefilled + (generated - resumedTokens)

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
        val event = event(text = text, reason = null).put("offset", generated).put("tokens", count)
        generated += count
        if (!clientGone) stream.write("data: $event\n\n".toByteArray())
    }

    /** Ends the answer. */
    fun finish() {
        if (clientGone) return
        val event = event(text = "", reason = "length").put("total_tokens", generated)
        stream.write("data: $event\n\ndata: [DONE]\n\n".toByteArray())
        stream.end()
    }

    /** Breaks the connection off. */
    fun abort() = stream.abort()

    private fun event(text: String, reason: String?): ObjectNode {
        val event = StandInServer.mapper.createObjectNode().put("id", id).put("object", "text_completion")
        event.putArray("choices").addObject().put("index", 0).put("text", text).put("finish_reason", reason)
        return event
    }

    companion object {
        /** The task for the request of [exchange]. */
        fun of(exchange: HttpExchange, body: JsonNode, stream: ResponseStream, nowMillis: Long): EngineTask {
            val prompt = body["prompt"].asText()
            val task = EngineTask(
                prompt = prompt,
                promptTokens = (prompt.length + CHARACTERS_PER_TOKEN - 1L) / CHARACTERS_PER_TOKEN,
                body = body,
                headers = exchange.request.headers,
                arrivedAtMillis = nowMillis,
                stream = stream,
            )
            exchange.onClosed { task.clientGone = true }
            return task
        }
    }
}

private const val RADIX = 16
private const val CHARACTERS_PER_TOKEN = 4
