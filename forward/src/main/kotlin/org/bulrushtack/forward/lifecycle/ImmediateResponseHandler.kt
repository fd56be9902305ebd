package org.bulrushtack.forward.lifecycle

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpMessageRequest
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.RequestError

/** Answers each request at once with the response of [respond], or with a problem when that is null. */
internal class ImmediateResponseHandler(
    private val respond: (HttpMessageRequest) -> HttpMessageResponse?,
) : HttpHandler {
    override fun handle(exchange: HttpExchange) {
        exchange.respond(respond(exchange.request) ?: problem(ErrorKind.UNKNOWN_PATH))
    }

    override fun errorResponse(error: RequestError): HttpMessageResponse = problem(
        when (error) {
            RequestError.NO_MEMORY -> ErrorKind.OVERLOADED
            RequestError.INCOMPLETE -> ErrorKind.REQUEST_INCOMPLETE
            else -> ErrorKind.MALFORMED_REQUEST
        },
    )

    private fun problem(kind: ErrorKind) = ProblemWriter.response(problem = Problem(kind), requestId = "none")
}
