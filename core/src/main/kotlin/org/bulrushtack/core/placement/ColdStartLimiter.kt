package org.bulrushtack.core.placement

/**
 * Limits the rate at which one daemon sends requests to a cold server. Each daemon uses only a [share] of the rate that
 * the server can handle, so that daemons which place requests at the same time, even without knowing of one another,
 * stay within it together.
 */
public class ColdStartLimiter(
    private val share: Double = DEFAULT_SHARE,
) {
    private val sends = ArrayDeque<Send>()
    private val counts = HashMap<String, Int>()

    /** The number of sends that are remembered. */
    public val rememberedSends: Int get() = sends.size

    /** Whether the cold server [id], which can handle [perSecond] requests, may get one more at [nowMillis]. */
    public fun allows(id: String, perSecond: Double, nowMillis: Long): Boolean {
        forgetBefore(nowMillis - WINDOW_MILLIS)
        return (counts[id] ?: 0) < maxOf(1, (perSecond * share).toInt())
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

/** After a change of leader two daemons may briefly place requests at once, and others on their own beside them. */
private const val DEFAULT_SHARE = 0.3

/** Longer than the second that the limit covers, since sends may arrive late. */
private const val WINDOW_MILLIS = 1_300L
