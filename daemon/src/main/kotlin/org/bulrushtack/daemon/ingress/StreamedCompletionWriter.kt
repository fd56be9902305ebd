package org.bulrushtack.daemon.ingress

import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.front.Json
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.ResponseStream

/** Streams a completion as server-sent events; a problem after the first token is sent as an `error` event. */
internal class StreamedCompletionWriter(
    private val exchange: HttpExchange,
    private val requestId: String,
    private val responses: CompletionResponseBuilder,
) : CompletionWriter {
    private var stream: ResponseStream? = null
    private var readyListener: () -> Unit = {}

    override val isReady: Boolean get() = stream?.isWritable ?: true

    override fun onReady(listener: () -> Unit) {
        readyListener = listener
    }

    override fun chunk(offset: Long, tokens: Long, text: String) {
        writeEvent(responses.choice(text = text, reason = null).put("offset", offset).put("tokens", tokens))
    }

    override fun finish(totalTokens: Long, reason: String) {
        val last = responses.choice(text = "", reason = reason)
        writeEvent(responses.withUsage(response = last, answerTokens = totalTokens))
        openStream().write("data: [DONE]\n\n".toByteArray())
        openStream().end()
    }

    override fun fail(problem: Problem) {
        val openedStream = stream
        if (openedStream == null) {
            exchange.respond(ProblemWriter.response(problem = problem, requestId = requestId))
            return
        }
        openedStream.write("event: error\n".toByteArray())
        writeEvent(ProblemWriter.document(problem = problem, requestId = requestId))
        openedStream.end()
    }

    private fun writeEvent(data: JsonNode) {
        openStream().write("data: ${Json.mapper.writeValueAsString(data)}\n\n".toByteArray())
    }

    private fun openStream(): ResponseStream = stream ?: exchange.stream(
        status = STATUS_OK,
        contentType = "text/event-stream",
    ).also { opened ->
        stream = opened
        opened.onWritable { readyListener() }
    }
}

private const val STATUS_OK = 200
