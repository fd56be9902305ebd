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
 * @property deadlineSeconds the caller's deadline, or null for the workspace's
 */
internal data class CompletionBody(
    val model: String,
    val prompt: ByteArray,
    val maximumTokens: Long,
    val stream: Boolean,
    val deadlineSeconds: Long?,
) {
    /** An estimate of the prompt's tokens from its length. */
    val promptTokens: Long get() = (prompt.size + BYTES_PER_TOKEN - 1L) / BYTES_PER_TOKEN

    companion object {
        /** Reads a body, or says what is wrong with it. */
        fun parse(bytes: ByteArray): Either<Problem, CompletionBody> = try {
            read(Json.mapper.readTree(bytes))
        } catch (exception: JsonProcessingException) {
            Problem(ErrorKind.MALFORMED_REQUEST, "The body is not JSON: ${exception.originalMessage}").left()
        }

        private fun read(node: JsonNode): Either<Problem, CompletionBody> {
            val fault = textFault(node) ?: limitFault(node)
            if (fault != null) return fault.left()
            return CompletionBody(
                model = node["model"].asText(),
                prompt = node["prompt"].asText().toByteArray(),
                maximumTokens = node["max_tokens"]?.asLong() ?: DEFAULT_MAXIMUM_TOKENS,
                stream = node["stream"]?.asBoolean() ?: false,
                deadlineSeconds = node["deadline_seconds"]?.asLong(),
            ).right()
        }

        private fun textFault(node: JsonNode): Problem? {
            val missing = listOf("model", "prompt").firstOrNull { node[it]?.isTextual != true }
            return missing?.let { Problem(ErrorKind.MALFORMED_REQUEST, "'$it' is missing or not a string.") }
        }

        private fun limitFault(node: JsonNode): Problem? {
            val tokensWrong = outside(node["max_tokens"], MAXIMUM_TOKENS_RANGE)
            val deadlineWrong = outside(node["deadline_seconds"], DEADLINE_RANGE)
            return when {
                tokensWrong -> Problem(ErrorKind.INVALID_LIMIT, "'max_tokens' is not in $MAXIMUM_TOKENS_RANGE.")
                deadlineWrong -> Problem(ErrorKind.INVALID_LIMIT, "'deadline_seconds' is not in $DEADLINE_RANGE.")
                else -> null
            }
        }

        private fun outside(node: JsonNode?, range: LongRange): Boolean =
            node != null && (!node.isIntegralNumber || node.asLong() !in range)
    }
}

private const val BYTES_PER_TOKEN = 4
private const val MAXIMUM_ANSWER_TOKENS = 100_000L
private const val MAXIMUM_DEADLINE_SECONDS = 3_600L
private const val DEFAULT_MAXIMUM_TOKENS = 256L
private val MAXIMUM_TOKENS_RANGE = 1L..MAXIMUM_ANSWER_TOKENS
private val DEADLINE_RANGE = 1L..MAXIMUM_DEADLINE_SECONDS
