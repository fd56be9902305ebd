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

/** A caller of the system: asks for addresses, sends completions and bookings. */
class BenchClient(
    group: EventLoopGroup,
    private val workspaceKey: String,
) {
    private val client = HttpClient(group)

    /** What the daemon at [address] says of entries; fails when it does not answer. */
    fun entry(address: String): JsonNode {
        val answer = client.exchange(ClientRequest(method = "GET", address = address, path = "/v1/entry")).join()
        val body = answer.map { it.body }.getOrNull() ?: error("no entry answer from $address")
        return mapper.readTree(body)
    }

    /** The addresses that the daemon at [address] names, once there are [count] of them. */
    fun awaitEntries(address: String, count: Int): List<String> {
        repeat(ENTRY_TRIES) {
            val entries = entry(address)["entries"]?.map { it["address"].asText() }.orEmpty()
            if (entries.size >= count) return entries
            LockSupport.parkNanos(ENTRY_PAUSE_NANOS)
        }
        error("$address named fewer than $count daemons")
    }

    /** Sends a streamed completion; the future never fails. */
    fun complete(address: String, load: CompletionLoad): CompletableFuture<CompletionResult> {
        val body = mapper.createObjectNode()
            .put("model", load.model)
            .put("prompt", load.prompt)
            .put("max_tokens", load.answerTokens)
            .put("deadline_seconds", load.deadlineSeconds)
            .put("stream", true)
        val reader = CompletionReader(load = load)
        client.send(
            request = ClientRequest(
                method = "POST",
                address = address,
                path = "/v1/completions",
                headers = authorization(),
                body = mapper.writeValueAsBytes(body),
            ),
            listener = reader,
        )
        return reader.result
    }

    /** Calls an operation of a plain service under [key]. */
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

    /** Reads JSON at [path], without a key. */
    fun get(address: String, path: String): JsonNode {
        val answer = client.exchange(ClientRequest(method = "GET", address = address, path = path)).join()
        return mapper.readTree(answer.map { it.body }.getOrNull() ?: error("no answer from $address$path"))
    }

    private fun authorization(): HttpHeaderList =
        HttpHeaderList().with(name = "authorization", value = "Bearer $workspaceKey")

    companion object {
        /** The mapper for all messages. */
        val mapper: ObjectMapper = jacksonObjectMapper()
    }
}

private const val ENTRY_TRIES = 300
private const val ENTRY_PAUSE_NANOS = 100_000_000L
