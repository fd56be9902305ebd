package org.bulrushtack.core.placement

/**
 * Limits the rate at which one daemon sends requests to a cold server. Each daemon uses only its [share] of the rate
 * that the server can handle, so that all daemons that send to it stay within the rate together.
 */
public class ColdStartLimiter(
    private val share: ColdStartShare = LeaderColdStartShare(),
) {
    private val sends = ArrayDeque<Send>()
    private val counts = HashMap<String, Int>()

    /** The number of sends that are remembered. */
    public val rememberedSends: Int get() = sends.size

    /** Whether the cold server [id], which can handle [perSecond] requests, may get one more at [nowMillis]. */
    public fun allows(id: String, perSecond: Double, nowMillis: Long): Boolean {
        forgetBefore(nowMillis - WINDOW_MILLIS)
        return (counts[id] ?: 0) < share.requests(id = id, perSecond = perSecond)
    }

    /** Records a send to [id], cold or not: the server may have been cold already when its entry said nothing yet. */
    public fun recordSend(id: String, nowMillis: Long) {
        forgetBefore(nowMillis - WINDOW_MILLIS)
        sends.addLast(Send(id = id, atMillis = nowMillis))
        counts.merge(id, 1, Int::plus)
    }

    private fun forgetBefore(millis: Long) {
        while (sends.isNotEmpty() && sends.first().atMillis <= millis) {
            counts.computeIfPresent(sends.removeFirst().id) { _, count -> (count - 1).takeIf { it > 0 } }
        }
    }

    private data class Send(
        val id: String,
        val atMillis: Long,
    )
}

/** Longer than the second that the limit covers, since sends may arrive late. */
private const val WINDOW_MILLIS = 1_300L
