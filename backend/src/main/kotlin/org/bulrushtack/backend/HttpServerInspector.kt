package org.bulrushtack.backend

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.bulrushtack.core.backend.BackendRequestContext
import org.bulrushtack.core.backend.ServerInspector
import org.bulrushtack.core.dispatch.RunningList
import org.bulrushtack.core.dispatch.ServerReport
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpMessageResponse
import java.util.concurrent.CompletableFuture

/** Reads the state of backend servers over HTTP. On a reused connection, a copy of an older state could arrive late. */
public class HttpServerInspector(
    private val client: HttpClient,
) : ServerInspector {
    private val mapper: ObjectMapper = jacksonObjectMapper()

    override fun listRequests(address: String): CompletableFuture<Either<String, RunningList>> =
        get(address = address, path = "/v1/requests") { node ->
            RunningList(
                incarnation = node["incarnation"].asText(),
                capacityTokens = node.requireCount("capacity_tokens"),
                leaving = node.requireFlag("leaving"),
                requests = node["requests"].map { toRunningRequest(it) },
            )
        }

    override fun readLoad(address: String): CompletableFuture<Either<String, ServerReport>> =
        get(address = address, path = "/v1/load") { node ->
            ServerReport(incarnation = node["incarnation"].asText(), cold = node.requireFlag("cold"))
        }

    override fun cancel(address: String, context: BackendRequestContext) {
        client.exchange(
            ClientRequest(
                method = "POST",
                address = address,
                path = "/v1/requests/${context.serverRequestId}/cancel",
                headers = RequestContextHeaders.of(context),
                timeoutMillis = INSPECTION_TIMEOUT_MILLIS,
            ),
        )
    }

    private fun toRunningRequest(node: JsonNode): RunningList.RunningRequest = RunningList.RunningRequest(
        id = node["id"].asText(),
        owner = node["owner"].asText(),
        ownerIncarnation = node["owner_incarnation"].asText(),
        reservedTokens = node.requireCount("reserved_tokens"),
    )

    private fun <T> get(address: String, path: String, parse: (JsonNode) -> T): CompletableFuture<Either<String, T>> {
        val request = ClientRequest(
            method = "GET",
            address = address,
            path = path,
            dedicatedConnection = true,
            timeoutMillis = INSPECTION_TIMEOUT_MILLIS,
        )
        return client.exchange(request).thenApply { result ->
            result.mapLeft { it.reason }.flatMap { decode(response = it, parse = parse) }
        }
    }

    private fun <T> decode(response: HttpMessageResponse, parse: (JsonNode) -> T): Either<String, T> {
        if (response.status != STATUS_OK) return "status ${response.status}".left()
        return Either.catch { parse(mapper.readTree(response.body)) }.mapLeft { "unreadable response: ${it.message}" }
    }
}

private const val INSPECTION_TIMEOUT_MILLIS = 2_000L
private const val STATUS_OK = 200
