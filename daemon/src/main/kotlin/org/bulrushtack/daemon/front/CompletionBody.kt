package org.bulrushtack.daemon.front

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem

/**
 * The body of a completion request.
 *
 * @property deadlineSeconds the caller's deadline, or null for the deadline of its workspace
 */
internal data class CompletionBody(
    val model: String,
    val prompt: ByteArray,
    val maximumTokens: Long,
    val stream: Boolean,
    val deadlineSeconds: Long?,
) {
    /** The number of prompt tokens, estimated from the length of the prompt in bytes. */
    val estimatedPromptTokens: Long get() = (prompt.size + BYTES_PER_TOKEN - 1L) / BYTES_PER_TOKEN

    companion object {
        /** Parses a JSON body; returns the first problem if it isn't valid. */
        fun parse(bytes: ByteArray): Either<Problem, CompletionBody> = try {
            read(Json.mapper.readTree(bytes))
        } catch (exception: JsonProcessingException) {
            Problem(ErrorKind.MALFORMED_REQUEST, "The body is not JSON: ${exception.originalMessage}").left()
        }

        private fun read(node: JsonNode): Either<Problem, CompletionBody> {
            val problem = missingText(node) ?: invalidLimit(node)
            if (problem != null) return problem.left()
            return CompletionBody(
                model = node["model"].asText(),
                prompt = node["prompt"].asText().toByteArray(),
                maximumTokens = node["max_tokens"]?.asLong() ?: DEFAULT_MAXIMUM_TOKENS,
                stream = node["stream"]?.asBoolean() ?: false,
                deadlineSeconds = node["deadline_seconds"]?.asLong(),
            ).right()
        }

        private fun missingText(node: JsonNode): Problem? {
            val missing = listOf("model", "prompt").firstOrNull { node[it]?.isTextual != true }
            return missing?.let { Problem(ErrorKind.MALFORMED_REQUEST, "'$it' is missing or not a string.") }
        }

        private fun invalidLimit(node: JsonNode): Problem? {
            val tokensInvalid = isOutside(node["max_tokens"], MAXIMUM_TOKENS_RANGE)
            val deadlineInvalid = isOutside(node["deadline_seconds"], DEADLINE_RANGE)
            return when {
                tokensInvalid -> Problem(ErrorKind.INVALID_LIMIT, "'max_tokens' is not in $MAXIMUM_TOKENS_RANGE.")
                deadlineInvalid -> Problem(ErrorKind.INVALID_LIMIT, "'deadline_seconds' is not in $DEADLINE_RANGE.")
                else -> null
            }
        }

        private fun isOutside(node: JsonNode?, range: LongRange): Boolean =
            node != null && (!node.isIntegralNumber || node.asLong() !in range)
    }
}

private const val BYTES_PER_TOKEN = 4
private const val MAXIMUM_ANSWER_TOKENS = 100_000L
private const val MAXIMUM_DEADLINE_SECONDS = 3_600L
private const val DEFAULT_MAXIMUM_TOKENS = 256L
private val MAXIMUM_TOKENS_RANGE = 1L..MAXIMUM_ANSWER_TOKENS
private val DEADLINE_RANGE = 1L..MAXIMUM_DEADLINE_SECONDS
