package org.bulrushtack.backend

import org.bulrushtack.core.backend.ServiceClient
import org.bulrushtack.core.backend.ServiceRequest
import org.bulrushtack.core.backend.ServiceResult
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpMessageResponse
import java.util.Base64
import java.util.concurrent.CompletableFuture

/** Calls plain services over HTTP; each call has a dedicated connection and is sent once. */
public class HttpServiceClient(
    private val client: HttpClient,
) : ServiceClient {
    override fun call(address: String, request: ServiceRequest): CompletableFuture<ServiceResult> {
        val headers = RequestContextHeaders.of(request.context).with(name = "x-workspace", value = request.workspace)
        val key = request.idempotencyKey
        val message = ClientRequest(
            method = "POST",
            address = address,
            path = "/${request.service}/${request.operation}",
            headers = if (key == null) headers else headers.with(name = "idempotency-key", value = key),
            body = request.body,
            contentType = request.contentType,
            dedicatedConnection = true,
            timeoutMillis = request.timeoutMillis,
        )
        return client.exchange(message).thenApply { it.fold(ifLeft = ::failureResult, ifRight = ::answerResult) }
    }

    private fun failureResult(failure: HttpFailure): ServiceResult = when {
        failure.sent -> ServiceResult.Lost(detail = failure.reason)
        else -> ServiceResult.NotSent(detail = failure.reason)
    }

    private fun answerResult(response: HttpMessageResponse): ServiceResult = ServiceResult.Answered(
        answer = CallAnswer(
            status = response.status,
            contentType = response.contentType.orEmpty(),
            body = Base64.getEncoder().encodeToString(response.body),
        ),
        incarnation = response.headers.find(RequestContextHeaders.INCARNATION),
    )
}
