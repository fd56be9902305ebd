package org.bulrushtack.bench

import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.bench.CompletionResult.Outcome
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseListener
import java.util.concurrent.CompletableFuture
import java.util.zip.CRC32

/** Reads a streamed answer and checks that each token is the one that the stand-in engine makes for this prompt. */
internal class CompletionReader(
    private val load: CompletionLoad,
) : ResponseListener {
    val result = CompletableFuture<CompletionResult>()
    private val checksum = CRC32().also { it.update(load.prompt.toByteArray()) }.value.toString(RADIX)
    private val line = StringBuilder()
    private val refusal = StringBuilder()
    private var status = 0
    private var tokens = 0L
    private var firstTokenNanos: Long? = null
    private var finished = false
    private var wrong = false
    private var problemKind = ""

    override fun onHead(status: Int, headers: HttpHeaderList) {
        this.status = status
    }

    override fun onData(bytes: ByteArray) {
        val text = bytes.decodeToString()
        if (status != STATUS_OK) {
            refusal.append(text)
            return
        }
        text.forEach { character ->
            if (character == '\n') readLine() else line.append(character)
        }
    }

    override fun onComplete() {
        if (status != STATUS_OK) problemKind = kindOf(BenchClient.mapper.readTree(refusal.toString()))
        conclude()
    }

    override fun onFailure(failure: HttpFailure) {
        problemKind = ""
        wrong = true
        conclude()
    }

    private fun readLine() {
        val data = line.toString()
        line.setLength(0)
        if (!data.startsWith(PREFIX)) return
        val text = data.removePrefix(PREFIX).trim()
        if (text != DONE) read(BenchClient.mapper.readTree(text))
    }

    private fun read(event: JsonNode) {
        val choice = event["choices"]?.get(0)
        if (choice == null) {
            problemKind = kindOf(event)
            return
        }
        choice["text"].asText().split(' ').filter { it.isNotEmpty() }.forEach { check(it) }
        if (!choice["finish_reason"].isNull) finished = true
    }

    private fun check(token: String) {
        if (firstTokenNanos == null) firstTokenNanos = System.nanoTime() - load.intendedAtNanos
        if (token != "t$tokens-$checksum") wrong = true
        tokens++
    }

    private fun kindOf(problem: JsonNode): String = problem["kind"]?.asText().orEmpty()

    private fun conclude() {
        val whole = finished && !wrong && tokens == load.answerTokens.toLong()
        val outcome = when {
            whole -> Outcome.ANSWERED
            problemKind.isNotEmpty() && !wrong -> Outcome.REFUSED
            else -> Outcome.LOST
        }
        result.complete(
            CompletionResult(
                outcome = outcome,
                promptTokens = load.promptTokens,
                kind = problemKind,
                firstTokenNanos = firstTokenNanos,
                totalNanos = System.nanoTime() - load.intendedAtNanos,
            ),
        )
    }
}

private const val RADIX = 16
private const val STATUS_OK = 200
private const val PREFIX = "data:"
private const val DONE = "[DONE]"
