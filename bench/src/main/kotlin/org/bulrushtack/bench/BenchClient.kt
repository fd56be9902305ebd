package org.bulrushtack.bench

import arrow.core.Either
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import io.netty.channel.EventLoopGroup
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.LockSupport

/** A caller of the system: looks up daemon addresses, sends completions and calls plain services. */
class BenchClient(
    group: EventLoopGroup,
    private val workspaceKey: String,
) {
    private val client = HttpClient(group)

    /** Reads daemon addresses and an idempotency key from the daemon at [address]; throws when there is no response. */
    fun readEntryResource(address: String): JsonNode {
        val result = client.exchange(ClientRequest(method = "GET", address = address, path = "/v1/entry")).join()
        val body = result.map { it.body }.getOrNull() ?: error("no response to GET /v1/entry from $address")
        return mapper.readTree(body)
    }

    /** Waits until the daemon at [address] lists at least [count] entries and returns their addresses. */
    fun awaitEntries(address: String, count: Int): List<String> {
        repeat(ENTRY_ATTEMPTS) {
            val entries = readEntryResource(address)["entries"]?.map { it["address"].asText() }.orEmpty()
            if (entries.size >= count) return entries
            LockSupport.parkNanos(ENTRY_RETRY_DELAY_NANOS)
        }
        error("$address listed fewer than $count daemons")
    }

    /** Sends a streamed completion; the future never completes exceptionally. */
    fun complete(address: String, request: CompletionRequest): CompletableFuture<CompletionResult> {
        val body = mapper.createObjectNode()
            .put("model", request.model)
            .put("prompt", request.prompt)
            .put("max_tokens", request.answerTokens)
            .put("deadline_seconds", request.deadlineSeconds)
            .put("stream", true)
        val verifier = CompletionVerifier(request = request)
        client.send(
            request = ClientRequest(
                method = "POST",
                address = address,
                path = "/v1/completions",
                headers = authorization(),
                body = mapper.writeValueAsBytes(body),
            ),
            listener = verifier,
        )
        return verifier.result
    }

    /** Calls an operation of a plain service with the idempotency key [key]. */
    fun call(
        address: String,
        path: String,
        key: String,
        body: String,
    ): CompletableFuture<Either<HttpFailure, HttpMessageResponse>> = client.exchange(
        ClientRequest(
            method = "POST",
            address = address,
            path = path,
            headers = authorization().with(name = "idempotency-key", value = key),
            body = body.toByteArray(),
        ),
    )

    /** Reads JSON from [path] without authentication. */
    fun get(address: String, path: String): JsonNode {
        val result = client.exchange(ClientRequest(method = "GET", address = address, path = path)).join()
        return mapper.readTree(result.map { it.body }.getOrNull() ?: error("no response from $address$path"))
    }

    private fun authorization(): HttpHeaderList =
        HttpHeaderList().with(name = "authorization", value = "Bearer $workspaceKey")

    companion object {
        /** The JSON mapper for requests and responses. */
        val mapper: ObjectMapper = jacksonObjectMapper()
    }
}

private const val ENTRY_ATTEMPTS = 300
private const val ENTRY_RETRY_DELAY_NANOS = 100_000_000L
