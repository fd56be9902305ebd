package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.front.Json
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange

/** Collects a completion and sends it in one response. */
internal class BufferedCompletionWriter(
    private val exchange: HttpExchange,
    private val requestId: String,
    private val responses: CompletionResponseBuilder,
) : CompletionWriter {
    private val text = StringBuilder()

    override val isReady: Boolean get() = true

    override fun onReady(listener: () -> Unit) = Unit

    override fun chunk(offset: Long, tokens: Long, text: String) {
        this.text.append(text)
    }

    override fun finish(totalTokens: Long, reason: String) {
        val response = responses.choice(text = text.toString(), reason = reason)
        exchange.respond(Json.response(STATUS_OK, responses.withUsage(response = response, answerTokens = totalTokens)))
    }

    override fun fail(problem: Problem) =
        exchange.respond(ProblemWriter.response(problem = problem, requestId = requestId))
}

private const val STATUS_OK = 200
