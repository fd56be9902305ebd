package org.bulrushtack.daemon.front

import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RetryAdvice
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse

/** Writes problems as problem documents (RFC 9457). */
internal object ProblemWriter {
    /** The whole response for [problem] of request [requestId]. */
    fun response(problem: Problem, requestId: String): HttpMessageResponse = HttpMessageResponse(
        status = problem.kind.status,
        contentType = "application/problem+json",
        body = Json.mapper.writeValueAsBytes(document(problem = problem, requestId = requestId)),
        headers = headers(problem.kind),
    )

    /** The document alone, as a stream gives it after its answer has begun. */
    fun document(problem: Problem, requestId: String): ObjectNode = Json.mapper.createObjectNode()
        .put("type", "urn:bulrushtack:error:${problem.kind.code}")
        .put("title", problem.kind.text)
        .put("status", problem.kind.status)
        .put("detail", problem.detail)
        .put("kind", problem.kind.code)
        .put("ran", problem.kind.ran.wireName)
        .put("retry", problem.kind.retry.wireName)
        .put("request_id", requestId)

    private fun headers(kind: ErrorKind): HttpHeaderList {
        val waits = kind.retry != RetryAdvice.NEVER
        return if (waits) HttpHeaderList().with(name = "retry-after", value = RETRY_SECONDS) else HttpHeaderList()
    }
}

private const val RETRY_SECONDS = "1"
