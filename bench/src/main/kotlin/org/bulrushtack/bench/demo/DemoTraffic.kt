package org.bulrushtack.bench.demo

import org.bulrushtack.bench.BenchClient
import org.bulrushtack.bench.CompletionRequest
import org.bulrushtack.bench.CompletionResult
import org.bulrushtack.bench.PromptGenerator
import org.bulrushtack.http.HttpMessageResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Generates the demo's traffic, which is the same for the same seed. */
internal class DemoTraffic(
    private val client: BenchClient,
    private val entries: List<String>,
    private val random: Random,
) {
    /** Sends completions with prompts of 1,000 to 200,000 tokens concurrently and waits for all of them. */
    fun complete(count: Int): CompletionCount {
        val completed = AtomicInteger(0)
        val results = List(count) { number ->
            val request = CompletionRequest(
                prompt = PromptGenerator.generate(tokens = promptTokens(number), random = random),
                answerTokens = random.nextInt(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS),
                intendedAtNanos = System.nanoTime(),
            )
            client.complete(address = entries[number % entries.size], request = request).thenApply { result ->
                println("demo: ${completed.incrementAndGet()}/$count prompt=${result.promptTokens} ${describe(result)}")
                result
            }
        }.map { it.join() }
        return CompletionCount(
            answered = results.count { it.outcome == CompletionResult.Outcome.ANSWERED },
            refused = results.count { it.outcome == CompletionResult.Outcome.REFUSED },
            lost = results.count { it.outcome == CompletionResult.Outcome.LOST },
        )
    }

    /** Sends each booking twice concurrently with the same key, to two different daemons, and counts the runs. */
    fun book(count: Int, serviceControl: String): BookingCount {
        val keys = List(count) { client.readEntryResource(entries.first())["idempotencyKey"].asText() }
        val responses = keys.flatMapIndexed { number, key ->
            val firstAddress = entries[number % entries.size]
            val secondAddress = entries[(number + 1) % entries.size]
            listOf(book(address = firstAddress, key = key), book(address = secondAddress, key = key))
        }.map { it.join() }
        val unanswered = responses.filter { it == null || it.status != STATUS_CREATED }
        println("demo: ${responses.size - unanswered.size} of ${responses.size} bookings were answered")
        unanswered.forEach { println("demo: booking: ${it?.text()}") }
        val runs = client.get(address = serviceControl, path = "/control/runs")["runs"].map { it["key"].asText() }
        return BookingCount(
            lost = keys.count { it !in runs },
            doubled = keys.count { key -> runs.count { it == key } > 1 },
        )
    }

    private fun book(address: String, key: String): CompletableFuture<HttpMessageResponse?> =
        client.call(address = address, path = "/v1/services/booking/reserve", key = key, body = """{"party":4}""")
            .thenApply { it.getOrNull() }

    /** Every eighth prompt is long, up to 200,000 tokens. */
    private fun promptTokens(number: Int): Int = when {
        number % LONG_INTERVAL == 0 -> LONG_STEP_TOKENS * (1 + number / LONG_INTERVAL % LONG_SIZES)
        else -> random.nextInt(MIN_SHORT_PROMPT_TOKENS, MAX_SHORT_PROMPT_TOKENS)
    }

    private fun describe(result: CompletionResult): String {
        val firstToken = result.firstTokenNanos?.let { "first token after ${it / NANOS_PER_MILLI} ms" }.orEmpty()
        val parts = listOf(result.outcome.name.lowercase(), result.kind, firstToken)
        return parts.filter { it.isNotEmpty() }.joinToString()
    }

    /** The number of completions by outcome. */
    data class CompletionCount(
        val answered: Int,
        val refused: Int,
        val lost: Int,
    )

    /** The number of failed bookings: [lost] never ran, [doubled] ran more than once. */
    data class BookingCount(
        val lost: Int,
        val doubled: Int,
    )
}

private const val MIN_SHORT_PROMPT_TOKENS = 1_000
private const val MAX_SHORT_PROMPT_TOKENS = 4_000
private const val LONG_INTERVAL = 8
private const val LONG_STEP_TOKENS = 50_000
private const val LONG_SIZES = 4
private const val MIN_ANSWER_TOKENS = 20
private const val MAX_ANSWER_TOKENS = 60
private const val STATUS_CREATED = 201
private const val NANOS_PER_MILLI = 1_000_000
