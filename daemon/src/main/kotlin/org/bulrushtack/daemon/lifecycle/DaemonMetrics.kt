package org.bulrushtack.daemon.lifecycle

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.bulrushtack.core.error.ErrorKind
import java.time.Duration

/** The daemon's measures. */
class DaemonMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val tokens = registry.counter("bulrushtack.answer.tokens")
    private val answered = registry.counter("bulrushtack.requests", "kind", "completion", "outcome", "answered")
    private val abandoned = registry.counter("bulrushtack.requests", "kind", "completion", "outcome", "abandoned")

    init {
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /** The measures in the text form that Prometheus reads. */
    fun scrape(): String = registry.scrape()

    /** Registers a value that is read whenever the measures are. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name) { value() }.strongReference(true).register(registry)
    }

    /** Notes the time to the first token. */
    fun firstToken(promptTokens: Long, millis: Long) {
        Timer.builder("bulrushtack.first.token")
            .tag("prompt", PromptLength.of(promptTokens).label)
            .publishPercentiles(MEDIAN, HIGH, HIGHEST)
            .register(registry)
            .record(Duration.ofMillis(millis))
    }

    /** Notes a completion that was answered whole. */
    fun completionAnswered(tokens: Long) {
        answered.increment()
        this.tokens.increment(tokens.toDouble())
    }

    /** Notes a completion whose caller went away. */
    fun completionAbandoned() = abandoned.increment()

    /** Notes an answered call of a plain service. */
    fun callAnswered(replayed: Boolean) =
        registry.counter("bulrushtack.requests", "kind", "call", "outcome", if (replayed) "replayed" else "answered")
            .increment()

    /** Notes a request that ended with a problem. */
    fun refused(kind: ErrorKind) =
        registry.counter("bulrushtack.problems", "kind", kind.code, "ran", kind.runState.wireName).increment()

    /** Notes an attempt that failed. */
    fun attemptFailed(kind: ErrorKind) =
        registry.counter("bulrushtack.attempts.failed", "kind", kind.code).increment()
}

private const val MEDIAN = 0.5
private const val HIGH = 0.95
private const val HIGHEST = 0.99
