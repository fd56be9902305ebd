package org.bulrushtack.daemon.ingress

import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.daemon.front.Json

/** Builds the JSON objects of a completion in the format that clients of model engines expect. */
internal class CompletionResponseBuilder(
    private val requestId: String,
    private val model: String,
    private val promptTokens: Long,
) {
    /** An object with one choice; [reason] is why the completion ended, null before its end. */
    fun choice(text: String, reason: String?): ObjectNode {
        val response = Json.mapper.createObjectNode()
            .put("id", requestId)
            .put("object", "text_completion")
            .put("model", model)
        response.putArray("choices").addObject()
            .put("index", 0)
            .put("text", text)
            .put("finish_reason", reason)
        return response
    }

    /** Adds the token counts of the prompt and the completion. */
    fun withUsage(response: ObjectNode, answerTokens: Long): ObjectNode {
        response.putObject("usage")
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", answerTokens)
            .put("total_tokens", promptTokens + answerTokens)
        return response
    }
}
