package org.bulrushtack.daemon.ingress

import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.daemon.front.Json

/** Builds completion objects in the shape that model clients know. */
internal class CompletionMessage(
    private val requestId: String,
    private val model: String,
    private val promptTokens: Long,
) {
    /** An object with one choice; [reason] is null until the answer ends. */
    fun choice(text: String, reason: String?): ObjectNode {
        val message = Json.mapper.createObjectNode()
            .put("id", requestId)
            .put("object", "text_completion")
            .put("model", model)
        message.putArray("choices").addObject()
            .put("index", 0)
            .put("text", text)
            .put("finish_reason", reason)
        return message
    }

    /** Adds how many tokens were used. */
    fun withUsage(message: ObjectNode, answerTokens: Long): ObjectNode {
        message.putObject("usage")
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", answerTokens)
            .put("total_tokens", promptTokens + answerTokens)
        return message
    }
}
