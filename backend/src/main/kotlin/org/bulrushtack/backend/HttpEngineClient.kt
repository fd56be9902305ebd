package org.bulrushtack.backend

import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.bulrushtack.core.backend.BackendCall
import org.bulrushtack.core.backend.EngineClient
import org.bulrushtack.core.backend.EngineListener
import org.bulrushtack.core.backend.EngineRequest
import org.bulrushtack.http.ClientCall
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpClient

/**
 * Sends completions to model engines over HTTP; the tokens arrive as server-sent events. Each has a connection of its
 * own: a late second copy of an answer on a reused one can't be told from the next answer.
 */
public class HttpEngineClient(
    private val client: HttpClient,
) : EngineClient {
    private val mapper: ObjectMapper = jacksonObjectMapper()

    override fun start(address: String, request: EngineRequest, listener: EngineListener): BackendCall {
        val body = mapper.createObjectNode()
            .put("model", request.model)
            .put("prompt", request.prompt.decodeToString())
            .put("prompt_tokens", request.promptTokens)
            .put("max_tokens", request.maximumTokens)
            .put("resume_from", request.resumeFrom)
            .put("priority", request.priority)
            .put("stream", true)
        val call = client.send(
            request = ClientRequest(
                method = "POST",
                address = address,
                path = "/v1/completions",
                headers = RequestContextHeaders.of(request.context),
                body = mapper.writeValueAsBytes(body),
                dedicatedConnection = true,
                maximumResponseBytes = MAXIMUM_COMPLETION_BYTES,
            ),
            listener = EngineResponseReader(mapper = mapper, listener = listener),
        )
        return HttpBackendCall(call)
    }

    private class HttpBackendCall(
        private val call: ClientCall,
    ) : BackendCall {
        override fun cancel() = call.cancel()

        override fun setReading(reading: Boolean) = call.setReading(reading)
    }
}

/** Far above the longest completion. */
private const val MAXIMUM_COMPLETION_BYTES = 67_108_864L
