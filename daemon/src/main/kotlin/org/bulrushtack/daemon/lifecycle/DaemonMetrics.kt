package org.bulrushtack.daemon.lifecycle

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.bulrushtack.core.error.ErrorKind
import java.time.Duration

/** The daemon's metrics. */
class DaemonMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val tokens = registry.counter("bulrushtack.answer.tokens")
    private val answered = registry.counter("bulrushtack.requests", "kind", "completion", "outcome", "answered")
    private val abandoned = registry.counter("bulrushtack.requests", "kind", "completion", "outcome", "abandoned")

    init {
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /** The metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Registers a gauge; [value] is called at each scrape. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name) { value() }.strongReference(true).register(registry)
    }

    /** Records the time to first token of a prompt of [promptTokens] tokens. */
    fun recordTimeToFirstToken(promptTokens: Long, millis: Long) {
        Timer.builder("bulrushtack.first.token")
            .tag("prompt", PromptLengthBucket.forTokens(promptTokens).label)
            .publishPercentiles(MEDIAN, PERCENTILE_95, PERCENTILE_99)
            .register(registry)
            .record(Duration.ofMillis(millis))
    }

    /** Counts a completion that was answered in full with [tokens] tokens. */
    fun countAnsweredCompletion(tokens: Long) {
        answered.increment()
        this.tokens.increment(tokens.toDouble())
    }

    /** Counts a completion whose caller closed its connection before the end. */
    fun countAbandonedCompletion() = abandoned.increment()

    /** Counts an answered call of a plain service; [replayed] if the answer was a stored one. */
    fun countAnsweredCall(replayed: Boolean) =
        registry.counter("bulrushtack.requests", "kind", "call", "outcome", if (replayed) "replayed" else "answered")
            .increment()

    /** Counts a request that ended with a problem. */
    fun countProblem(kind: ErrorKind) =
        registry.counter("bulrushtack.problems", "kind", kind.code, "ran", kind.runState.wireName).increment()

    /** Counts a failed attempt. */
    fun countFailedAttempt(kind: ErrorKind) =
        registry.counter("bulrushtack.attempts.failed", "kind", kind.code).increment()
}

private const val MEDIAN = 0.5
private const val PERCENTILE_95 = 0.95
private const val PERCENTILE_99 = 0.99
