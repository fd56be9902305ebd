package org.bulrushtack.forward

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.http.ConnectionEndCause
import java.time.Duration

/** The metrics of a forwarding daemon. */
class ForwardMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Gauges with one value for each service. */
    val serviceGauges: ServiceGauges = ServiceGauges(registry)

    /** Counts whose requests wait for engines and whose are refused. */
    val shortage: ShortageMetrics = ShortageMetrics(registry)

    /** Returns the metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Registers a gauge whose [value] is read on each scrape. */
    fun gauge(name: String, tags: Map<String, String> = emptyMap(), value: () -> Number) {
        val labels = tags.map { (key, text) -> Tag.of(key, text) }
        Gauge.builder(name) { value() }.tags(labels).strongReference(true).register(registry)
    }

    /** Records a request of [route] whose caller got a server's response with [status] after [millis]. */
    fun recordResponse(route: String, status: Int, millis: Long) {
        registry.counter("bulrushtack.forward.answered", "route", route, "status", "$status").increment()
        registry.histogram("bulrushtack.forward.answer", "route", route).record(Duration.ofMillis(millis))
    }

    /** Records a problem document sent to a caller. */
    fun recordProblem(kind: ErrorKind) =
        registry.counter("bulrushtack.forward.problems", "kind", kind.code, "ran", kind.runState.wireName).increment()

    /** Records how a request finished; [how] is the value of the label. */
    fun recordCompletion(how: String) = registry.counter("bulrushtack.forward.ended", "how", how).increment()

    /** Records the outcome of one send to a server. */
    fun recordSend(outcome: SendOutcome) =
        registry.counter("bulrushtack.forward.sends", "outcome", outcome.name.lowercase()).increment()

    /** Records the time from a request's arrival to the first event of its stream. */
    fun recordTimeToFirstEvent(route: String, millis: Long) =
        registry.histogram("bulrushtack.forward.first.event", "route", route).record(Duration.ofMillis(millis))

    /** Records how long a request waited for its placement. */
    fun recordPlacementWait(millis: Long, kind: String = "engine") =
        registry.histogram("bulrushtack.forward.place.wait", "kind", kind).record(Duration.ofMillis(millis))

    /** Records a call to the platform's store, with its duration and whether it failed. */
    fun recordStoreCall(topic: StoreTopic, millis: Long, failed: Boolean) {
        val name = topic.name.lowercase()
        registry.histogram("bulrushtack.forward.store", "topic", name).record(Duration.ofMillis(millis))
        if (failed) registry.counter("bulrushtack.forward.store.failures", "topic", name).increment()
    }

    /** Records a caller's connection that ended because of [cause] while it owed a response. */
    fun recordLostResponse(cause: ConnectionEndCause) =
        registry.counter("bulrushtack.forward.lost.responses", "cause", cause.name.lowercase()).increment()
}

@Suppress("SpreadOperator")
private fun MeterRegistry.histogram(name: String, tag: String, value: String): Timer =
    Timer.builder(name).tag(tag, value).serviceLevelObjectives(*BUCKETS).register(this)

@Suppress("MagicNumber")
private val BUCKETS: Array<Duration> =
    listOf(5L, 20, 50, 100, 200, 300, 500, 1_000, 1_500, 3_000, 5_000, 10_000).map { Duration.ofMillis(it) }
        .toTypedArray()
