package org.bulrushtack.forward

import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RetryAdvice
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import java.util.Locale

/** Serialises problems as problem documents (RFC 9457). */
object ProblemWriter {
    /** The time after which a caller may retry if nothing better is known. */
    const val DEFAULT_RETRY_MILLIS: Long = 1_000

    private val mapper = ObjectMapper()

    /** The response for [problem] of request [requestId]; if a retry may succeed, after [retryAfterMillis]. */
    fun response(
        problem: Problem,
        requestId: String,
        retryAfterMillis: Long = DEFAULT_RETRY_MILLIS,
    ): HttpMessageResponse = HttpMessageResponse(
        status = problem.kind.status,
        contentType = "application/problem+json",
        body = mapper.writeValueAsBytes(document(problem = problem, requestId = requestId)),
        headers = headers(problem = problem, retryAfterMillis = retryAfterMillis),
    )

    /** The document alone, which a stream sends once its response has started. */
    fun document(problem: Problem, requestId: String): ObjectNode = mapper.createObjectNode()
        .put("type", "urn:bulrushtack:error:${problem.kind.code}")
        .put("title", problem.kind.text)
        .put("status", problem.kind.status)
        .put("detail", problem.detail)
        .put("kind", problem.kind.code)
        .put("ran", problem.kind.runState.wireName)
        .put("retry", problem.kind.retryAdvice.wireName)
        .put("request_id", requestId)

    private fun headers(problem: Problem, retryAfterMillis: Long): HttpHeaderList {
        val isRetryable = problem.kind.retryAdvice != RetryAdvice.NEVER
        return if (isRetryable) HttpHeaderList().with("retry-after", seconds(retryAfterMillis)) else HttpHeaderList()
    }

    private fun seconds(millis: Long): String {
        val seconds = millis / MILLIS_PER_SECOND
        return if (seconds % 1 == 0.0) "${seconds.toLong()}" else "%.1f".format(Locale.ROOT, seconds)
    }
}

private const val MILLIS_PER_SECOND = 1_000.0
