package org.bulrushtack.core.route

/**
 * The routing rule for the requests of one host and path prefix.
 *
 * @property pathPrefix begins and ends with a slash
 * @property streamed whether answers are server-sent events
 * @property timeoutMillis the longest time until the whole answer has reached the caller
 * @property objectiveMillis the target for the time to the answer, or to the first event of a stream
 * @property tokenGapMillis the target for the time between two events of a stream; null without streaming
 * @property priority 0 is the most urgent
 * @property maximumSends the maximum number of backend servers to which one attempt may be sent
 * @property open whether requests are accepted without a workspace key
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val streamed: Boolean,
    val repeatability: Repeatability,
    val timeoutMillis: Long,
    val objectiveMillis: Long,
    val tokenGapMillis: Long?,
    val priority: Int,
    val split: List<WeightedService>,
    val maximumSends: Int,
    val open: Boolean,
) {
    /** Selects a service by weight; [point] is a random number from 0 until 1. */
    public fun service(point: Double): String {
        var left = point * split.sumOf { it.weight }
        return split.firstOrNull { part ->
            left -= part.weight
            left < 0
        }?.service ?: split.last().service
    }
}
