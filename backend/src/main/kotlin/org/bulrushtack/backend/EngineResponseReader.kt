package org.bulrushtack.backend

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import org.bulrushtack.core.backend.EngineListener
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseListener

/** Reads the response of an engine; only the engine's final event completes it, not the end of the stream. */
internal class EngineResponseReader(
    private val mapper: ObjectMapper,
    private val listener: EngineListener,
) : ResponseListener {
    private val parser = ServerSentEventParser()
    private val errorBody = StringBuilder()
    private var status = 0
    private var incarnation: String? = null
    private var finished = false

    override fun onHead(status: Int, headers: HttpHeaderList) {
        this.status = status
        incarnation = headers.find(RequestContextHeaders.INCARNATION)
        if (status == STATUS_OK) incarnation?.let { listener.onAccepted(it) }
    }

    override fun onData(bytes: ByteArray) {
        if (finished) return
        if (status == STATUS_OK) {
            parser.parse(bytes).forEach { handleEvent(it) }
        } else if (errorBody.length < MAXIMUM_ERROR_BODY_CHARACTERS) {
            errorBody.append(bytes.decodeToString())
        }
    }

    override fun onComplete() {
        if (finished) return
        finished = true
        if (status == STATUS_OK) {
            listener.onLost(detail = "the answer ended early", incarnation = incarnation)
        } else {
            listener.onRejected(problem = problem(), incarnation = incarnation)
        }
    }

    override fun onFailure(failure: HttpFailure) {
        if (finished) return
        finished = true
        when {
            failure.sent -> listener.onLost(detail = failure.reason, incarnation = incarnation)
            else -> listener.onNotSent(detail = failure.reason)
        }
    }

    private fun handleEvent(event: String) {
        if (finished || event == DONE) return
        val node = mapper.readTree(event)
        val choice = node["choices"][0]
        val reason = choice["finish_reason"]
        if (reason.isNull) chunk(node = node, text = choice["text"].asText()) else finish(node, reason.asText())
    }

    private fun chunk(node: JsonNode, text: String) =
        listener.onChunk(offset = node.requireCount("offset"), tokens = node.requireCount("tokens"), text = text)

    private fun finish(node: JsonNode, reason: String) {
        val totalTokens = node.requireCount("total_tokens")
        finished = true
        listener.onFinished(totalTokens = totalTokens, reason = reason, incarnation = incarnation)
    }

    private fun problem(): Problem {
        val kind = when (status) {
            STATUS_NOT_FOUND -> ErrorKind.UNKNOWN_MODEL
            STATUS_BAD_REQUEST -> ErrorKind.MALFORMED_REQUEST
            else -> ErrorKind.BACKEND_LOST
        }
        return Problem(kind = kind, detail = "The engine answered $status.")
    }
}

private const val STATUS_OK = 200
private const val STATUS_BAD_REQUEST = 400
private const val STATUS_NOT_FOUND = 404
private const val MAXIMUM_ERROR_BODY_CHARACTERS = 4_096
private const val DONE = "[DONE]"
