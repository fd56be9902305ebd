package org.bulrushtack.core.placement

/**
 * Limits the rate at which one daemon sends requests to a cold server. Each daemon uses only a [share] of the rate that
 * the server can handle, so that daemons which place requests at the same time, even without knowing of one another,
 * stay within it together.
 */
public class ColdStartLimiter(
    private val share: Double = DEFAULT_SHARE,
) {
    private val sends = HashMap<String, ArrayDeque<Long>>()

    /** Whether the cold server [id], which can handle [perSecond] requests, may get one more at [nowMillis]. */
    public fun allows(id: String, perSecond: Double, nowMillis: Long): Boolean {
        val recent = sends[id] ?: return true
        while (recent.isNotEmpty() && recent.first() <= nowMillis - WINDOW_MILLIS) recent.removeFirst()
        return recent.size < maxOf(1, (perSecond * share).toInt())
    }

    /** Records a send to [id]. */
    public fun recordSend(id: String, nowMillis: Long) {
        sends.getOrPut(id) { ArrayDeque() }.addLast(nowMillis)
    }
}

/** After a change of leader two daemons may briefly place requests at once, and others on their own beside them. */
private const val DEFAULT_SHARE = 0.3

/** Longer than the second that the limit covers, since sends may arrive late. */
private const val WINDOW_MILLIS = 1_300L
