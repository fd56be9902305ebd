package org.bulrushtack.bench.demo

import org.bulrushtack.bench.BenchClient
import org.bulrushtack.bench.CompletionLoad
import org.bulrushtack.bench.CompletionResult
import org.bulrushtack.bench.PromptText
import org.bulrushtack.http.HttpMessageResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** The demonstration's traffic, the same for the same seed. */
internal class DemoTraffic(
    private val client: BenchClient,
    private val entries: List<String>,
    private val random: Random,
) {
    /** Sends completions of 1,000 to 200,000 tokens, all at once, and waits for them. */
    fun complete(count: Int): CompletionCount {
        val done = AtomicInteger(0)
        val results = List(count) { number ->
            val load = CompletionLoad(
                prompt = PromptText.make(tokens = promptTokens(number), random = random),
                answerTokens = random.nextInt(SHORTEST_ANSWER, LONGEST_ANSWER),
                intendedAtNanos = System.nanoTime(),
            )
            client.complete(address = entries[number % entries.size], load = load).thenApply { result ->
                println("demo: ${done.incrementAndGet()}/$count prompt=${result.promptTokens} ${shown(result)}")
                result
            }
        }.map { it.join() }
        return CompletionCount(
            answered = results.count { it.outcome == CompletionResult.Outcome.ANSWERED },
            refused = results.count { it.outcome == CompletionResult.Outcome.REFUSED },
            lost = results.count { it.outcome == CompletionResult.Outcome.LOST },
        )
    }

    /** Sends each booking twice at once with one key, to two different daemons, and counts the runs. */
    fun book(count: Int, serviceControl: String): BookingCount {
        val keys = List(count) { client.entry(entries.first())["idempotencyKey"].asText() }
        val answers = keys.flatMapIndexed { number, key ->
            val first = entries[number % entries.size]
            val second = entries[(number + 1) % entries.size]
            listOf(book(address = first, key = key), book(address = second, key = key))
        }.map { it.join() }
        val unanswered = answers.filter { it == null || it.status != CREATED }
        println("demo: ${answers.size - unanswered.size} of ${answers.size} bookings were answered")
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
        number % LONG_EVERY == 0 -> LONG_STEP * (1 + number / LONG_EVERY % LONG_STEPS)
        else -> random.nextInt(SHORTEST, SHORT)
    }

    private fun shown(result: CompletionResult): String {
        val firstToken = result.firstTokenNanos?.let { "first token after ${it / NANOS_PER_MILLI} ms" }.orEmpty()
        val parts = listOf(result.outcome.name.lowercase(), result.kind, firstToken)
        return parts.filter { it.isNotEmpty() }.joinToString()
    }

    /** What became of completions. */
    data class CompletionCount(
        val answered: Int,
        val refused: Int,
        val lost: Int,
    )

    /** What became of bookings: [lost] never ran, [doubled] ran more than once. */
    data class BookingCount(
        val lost: Int,
        val doubled: Int,
    )
}

private const val SHORTEST = 1_000
private const val SHORT = 4_000
private const val LONG_EVERY = 8
private const val LONG_STEP = 50_000
private const val LONG_STEPS = 4
private const val SHORTEST_ANSWER = 20
private const val LONGEST_ANSWER = 60
private const val CREATED = 201
private const val NANOS_PER_MILLI = 1_000_000
