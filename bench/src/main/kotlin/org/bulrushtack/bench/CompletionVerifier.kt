package org.bulrushtack.bench

import arrow.core.Either
import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.bench.CompletionResult.Outcome
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseListener
import java.util.concurrent.CompletableFuture
import java.util.zip.CRC32

/** Reads a streamed answer and verifies each token against what the engine stand-in generates for the prompt. */
internal class CompletionVerifier(
    private val request: CompletionRequest,
) : ResponseListener {
    val result = CompletableFuture<CompletionResult>()
    private val checksum = CRC32().also { it.update(request.prompt.toByteArray()) }.value.toString(CHECKSUM_RADIX)
    private val line = StringBuilder()
    private val errorBody = StringBuilder()
    private var status = 0
    private var tokens = 0L
    private var firstTokenNanos: Long? = null
    private var finished = false
    private var hasMismatch = false
    private var problemKind = ""

    override fun onHead(status: Int, headers: HttpHeaderList) {
        this.status = status
    }

    override fun onData(bytes: ByteArray) {
        val text = bytes.decodeToString()
        if (status != STATUS_OK) {
            errorBody.append(text)
            return
        }
        text.forEach { character ->
            if (character == '\n') processLine() else line.append(character)
        }
    }

    override fun onComplete() {
        if (status != STATUS_OK) {
            val problem = Either.catch { BenchClient.mapper.readTree(errorBody.toString()) }.getOrNull()
            problemKind = problem?.let { kindOf(it) }.orEmpty()
        }
        completeResult()
    }

    override fun onFailure(failure: HttpFailure) {
        problemKind = ""
        hasMismatch = true
        completeResult()
    }

    private fun processLine() {
        val data = line.toString()
        line.setLength(0)
        if (!data.startsWith(DATA_PREFIX)) return
        val text = data.removePrefix(DATA_PREFIX).trim()
        if (text != END_OF_STREAM) processEvent(BenchClient.mapper.readTree(text))
    }

    private fun processEvent(event: JsonNode) {
        val choice = event["choices"]?.get(0)
        if (choice == null) {
            problemKind = kindOf(event)
            return
        }
        choice["text"].asText().split(' ').filter { it.isNotEmpty() }.forEach { verifyToken(it) }
        if (!choice["finish_reason"].isNull) finished = true
    }

    private fun verifyToken(token: String) {
        if (firstTokenNanos == null) firstTokenNanos = System.nanoTime() - request.intendedAtNanos
        if (token != "t$tokens-$checksum") hasMismatch = true
        tokens++
    }

    private fun kindOf(problem: JsonNode): String = problem["kind"]?.asText().orEmpty()

    private fun completeResult() {
        val isComplete = finished && !hasMismatch && tokens == request.answerTokens.toLong()
        val outcome = when {
            isComplete -> Outcome.ANSWERED
            problemKind.isNotEmpty() && !hasMismatch -> Outcome.REFUSED
            else -> Outcome.LOST
        }
        result.complete(
            CompletionResult(
                outcome = outcome,
                promptTokens = request.promptTokens,
                kind = problemKind,
                firstTokenNanos = firstTokenNanos,
                totalNanos = System.nanoTime() - request.intendedAtNanos,
            ),
        )
    }
}

private const val CHECKSUM_RADIX = 16
private const val STATUS_OK = 200
private const val DATA_PREFIX = "data:"
private const val END_OF_STREAM = "[DONE]"
