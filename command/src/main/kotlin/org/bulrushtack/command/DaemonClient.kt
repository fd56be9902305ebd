package org.bulrushtack.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse

/** Asks one daemon at [address], with an operator's [key]. */
internal class DaemonClient(
    private val address: String,
    private val key: String,
) {
    /** The answer at [path], or why there is none. */
    fun get(path: String): Either<Failure, JsonNode> = send(method = "GET", path = path, body = ByteArray(0))

    /** The answer to [body] at [path], or why there is none. */
    fun post(path: String, body: JsonNode): Either<Failure, JsonNode> =
        send(method = "POST", path = path, body = mapper.writeValueAsBytes(body))

    private fun send(method: String, path: String, body: ByteArray): Either<Failure, JsonNode> {
        val group = EventLoops.create(1)
        val answer = HttpClient(group).exchange(
            ClientRequest(
                method = method,
                address = address,
                path = path,
                headers = HttpHeaderList().with(name = "authorization", value = "Bearer $key"),
                body = body,
                timeoutMillis = TIMEOUT_MILLIS,
            ),
        ).join()
        group.shutdownGracefully()
        return answer.fold(
            ifLeft = { unreachable(it) },
            ifRight = { read(it) },
        )
    }

    private fun unreachable(failure: HttpFailure): Either<Failure, JsonNode> =
        Failure(exitCode = ExitCode.UNREACHABLE, text = "$address does not answer: ${failure.reason}").left()

    private fun read(response: HttpMessageResponse): Either<Failure, JsonNode> {
        val node = mapper.readTree(response.body)
        if (response.status == STATUS_OK) return node.right()
        val text = "${node["kind"].asText()}: ${node["title"].asText()} ${node["detail"].asText()}".trim()
        return Failure(exitCode = ExitCode.REFUSED, text = text).left()
    }

    /** Why a command failed. */
    data class Failure(
        val exitCode: Int,
        val text: String,
    )

    companion object {
        /** The mapper for all messages. */
        val mapper: ObjectMapper = jacksonObjectMapper()
    }
}

private const val TIMEOUT_MILLIS = 30_000L
private const val STATUS_OK = 200
