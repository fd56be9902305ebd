package org.bulrushtack.bench.load

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import org.HdrHistogram.Histogram
import org.bulrushtack.bench.BenchClient
import org.bulrushtack.bench.CompletionRequest
import org.bulrushtack.bench.CompletionResult
import org.bulrushtack.bench.PromptGenerator
import org.bulrushtack.http.EventLoops
import org.bulrushtack.program.ProgramCommand
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random

/** Sends completions at a fixed rate regardless of earlier results and prints the time to first token. */
@OptIn(ExperimentalCli::class)
internal class LoadCommand : ProgramCommand(name = "load", description = "completions at a fixed rate") {
    private val entries by option(ArgType.String, description = "daemons' addresses, separated by commas").required()
    private val key by option(ArgType.String, description = "a workspace's key").required()
    private val rate by option(ArgType.Int, description = "completions a second")
        .default(DEFAULT_COMPLETIONS_PER_SECOND)
    private val seconds by option(ArgType.Int, description = "length of the run in seconds").default(DEFAULT_SECONDS)
    private val warmup by option(ArgType.Int, description = "seconds before the measurement begins")
        .default(DEFAULT_WARMUP_SECONDS)
    private val tokens by option(ArgType.Int, description = "tokens of each prompt").default(DEFAULT_PROMPT_TOKENS)
    private val answer by option(ArgType.Int, description = "tokens of each answer").default(DEFAULT_ANSWER_TOKENS)
    private val seed by option(ArgType.Int, description = "seed of the prompts").default(1)

    override fun run() {
        val group = EventLoops.create(2)
        val client = BenchClient(group = group, workspaceKey = key)
        val addresses = entries.split(',')
        val random = Random(seed)
        sendAll(client = client, addresses = addresses, random = random, count = warmup * rate)
        val results = sendAll(client = client, addresses = addresses, random = random, count = seconds * rate)
        report(results)
        group.shutdownGracefully()
    }

    private fun sendAll(
        client: BenchClient,
        addresses: List<String>,
        random: Random,
        count: Int,
    ): List<CompletionResult> {
        val startedAtNanos = System.nanoTime()
        val pending = ArrayList<CompletableFuture<CompletionResult>>(count)
        for (number in 0 until count) {
            val intendedAtNanos = startedAtNanos + number * NANOS_PER_SECOND / rate
            val prompt = PromptGenerator.generate(tokens = tokens, random = random)
            while (System.nanoTime() < intendedAtNanos) LockSupport.parkNanos(intendedAtNanos - System.nanoTime())
            val request = CompletionRequest(prompt = prompt, answerTokens = answer, intendedAtNanos = intendedAtNanos)
            pending.add(client.complete(address = addresses[number % addresses.size], request = request))
        }
        return pending.map { it.join() }
    }

    private fun report(results: List<CompletionResult>) {
        val histogram = Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
        results.mapNotNull { it.firstTokenNanos }
            .forEach { nanos -> histogram.recordValue(minOf(MAX_RECORDED_MICROS, nanos / NANOS_PER_MICRO)) }
        val outcomes = results.groupingBy { it.outcome }.eachCount()
        println("load: rate=$rate/s count=${results.size} prompt=$tokens answer=$answer outcomes=$outcomes")
        println("load: kinds=${results.filter { it.kind.isNotEmpty() }.groupingBy { it.kind }.eachCount()}")
        val row = PERCENTILES.joinToString(" ") { "p$it=${histogram.getValueAtPercentile(it) / MICROS_PER_MILLI}ms" }
        println("load: first token $row max=${histogram.maxValue / MICROS_PER_MILLI}ms")
    }
}

private const val DEFAULT_COMPLETIONS_PER_SECOND = 200
private const val DEFAULT_SECONDS = 20
private const val DEFAULT_WARMUP_SECONDS = 10
private const val DEFAULT_PROMPT_TOKENS = 1_000
private const val DEFAULT_ANSWER_TOKENS = 16
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val NANOS_PER_MICRO = 1_000L
private const val MICROS_PER_MILLI = 1_000.0
private const val MAX_RECORDED_MICROS = 600_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val P50 = 50.0
private const val P95 = 95.0
private const val P99 = 99.0
private val PERCENTILES = listOf(P50, P95, P99)
