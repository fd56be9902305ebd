package org.bulrushtack.core.route

/**
 * Where requests of one host and path prefix go.
 *
 * @property pathPrefix begins and ends with a slash
 * @property streamed whether answers are server-sent events
 * @property timeoutMillis the longest time that a caller is kept waiting for the whole answer
 * @property objectiveMillis the time to the answer, or to the first event of a stream, that counts as in time
 * @property pauseMillis the longest pause between two events that counts as in time; null without streaming
 * @property priority the rank; 0 is the most urgent
 * @property maximumSends the most backend servers that one attempt may be sent to
 * @property open whether requests need no workspace key
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val streamed: Boolean,
    val repeatability: Repeatability,
    val timeoutMillis: Long,
    val objectiveMillis: Long,
    val pauseMillis: Long?,
    val priority: Int,
    val split: List<WeightedService>,
    val maximumSends: Int,
    val open: Boolean,
) {
    /** The service for a request that drew [point], a number from 0 until 1. */
    public fun service(point: Double): String {
        var left = point * split.sumOf { it.weight }
        return split.firstOrNull { part ->
            left -= part.weight
            left < 0
        }?.service ?: split.last().service
    }
}
