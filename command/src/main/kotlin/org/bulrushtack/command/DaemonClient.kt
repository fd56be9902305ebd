package org.bulrushtack.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.MissingNode
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse

/** Client for the operator API of the daemon at [address], authenticated with an operator's [key]. */
internal class DaemonClient(
    private val address: String,
    private val key: String,
) {
    /** Sends a GET request to [path]; returns the response body or the failure. */
    fun get(path: String): Either<Failure, JsonNode> = send(method = "GET", path = path, body = ByteArray(0))

    /** Posts [body] to [path]; returns the response body or the failure. */
    fun post(path: String, body: JsonNode): Either<Failure, JsonNode> =
        send(method = "POST", path = path, body = mapper.writeValueAsBytes(body))

    private fun send(method: String, path: String, body: ByteArray): Either<Failure, JsonNode> {
        val group = EventLoops.create(1)
        val result = HttpClient(group).exchange(
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
        return result.fold(
            ifLeft = { toFailure(it) },
            ifRight = { parse(it) },
        )
    }

    private fun toFailure(failure: HttpFailure): Either<Failure, JsonNode> =
        Failure(exitCode = ExitCode.UNREACHABLE, message = "no response from $address: ${failure.reason}").left()

    private fun parse(response: HttpMessageResponse): Either<Failure, JsonNode> {
        val node = Either.catch { mapper.readTree(response.body) }.getOrNull() ?: MissingNode.getInstance()
        return when {
            !node.isObject -> {
                val message = "the response from $address, with status ${response.status}, is no JSON object"
                Failure(exitCode = ExitCode.UNREACHABLE, message = message).left()
            }
            response.status == STATUS_OK -> node.right()
            else -> Failure(exitCode = ExitCode.REFUSED, message = problemText(node)).left()
        }
    }

    private fun problemText(problem: JsonNode): String {
        val (kind, title, detail) = listOf("kind", "title", "detail").map { problem.path(it).asText() }
        return "$kind: $title $detail".trim()
    }

    /** The exit code and the message of a failed command. */
    data class Failure(
        val exitCode: Int,
        val message: String,
    )

    companion object {
        /** The JSON mapper for requests and responses. */
        val mapper: ObjectMapper = jacksonObjectMapper()
    }
}

private const val TIMEOUT_MILLIS = 30_000L
private const val STATUS_OK = 200
