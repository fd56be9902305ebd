package org.bulrushtack.daemon.ingress

import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.front.Json
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.ResponseStream

/** Streams an answer as server-sent events; a problem after the first token becomes an `error` event. */
internal class StreamedCompletionWriter(
    private val exchange: HttpExchange,
    private val requestId: String,
    private val message: CompletionMessage,
) : CompletionWriter {
    private var stream: ResponseStream? = null
    private var readyListener: () -> Unit = {}

    override val isReady: Boolean get() = stream?.isWritable ?: true

    override fun onReady(listener: () -> Unit) {
        readyListener = listener
    }

    override fun chunk(offset: Long, tokens: Long, text: String) {
        event(message.choice(text = text, reason = null).put("offset", offset).put("tokens", tokens))
    }

    override fun finish(totalTokens: Long, reason: String) {
        event(message.withUsage(message = message.choice(text = "", reason = reason), answerTokens = totalTokens))
        opened().write("data: [DONE]\n\n".toByteArray())
        opened().end()
    }

    override fun fail(problem: Problem) {
        val begun = stream
        if (begun == null) {
            exchange.respond(ProblemWriter.response(problem = problem, requestId = requestId))
            return
        }
        begun.write("event: error\n".toByteArray())
        event(ProblemWriter.document(problem = problem, requestId = requestId))
        begun.end()
    }

    private fun event(data: JsonNode) {
        opened().write("data: ${Json.mapper.writeValueAsString(data)}\n\n".toByteArray())
    }

    private fun opened(): ResponseStream = stream ?: exchange.stream(
        status = STATUS_OK,
        contentType = "text/event-stream",
    ).also { opened ->
        stream = opened
        opened.onWritable { readyListener() }
    }
}

private const val STATUS_OK = 200
