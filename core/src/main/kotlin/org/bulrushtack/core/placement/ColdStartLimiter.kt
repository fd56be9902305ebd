package org.bulrushtack.core.placement

/**
 * Bounds what one daemon sends to a cold server in any second. Each daemon keeps to a [share] of what the server bears,
 * so that the daemons that place work at the same time, also without hearing of one another, stay within it together.
 */
public class ColdStartLimiter(
    private val share: Double = DEFAULT_SHARE,
) {
    private val sends = HashMap<String, ArrayDeque<Long>>()

    /** Whether a cold server [id] that bears [perSecond] requests may get one more at [nowMillis]. */
    public fun allows(id: String, perSecond: Double, nowMillis: Long): Boolean {
        val recent = sends[id] ?: return true
        while (recent.isNotEmpty() && recent.first() <= nowMillis - WINDOW_MILLIS) recent.removeFirst()
        return recent.size < maxOf(1, (perSecond * share).toInt())
    }

    /** Notes a send to [id]. */
    public fun sent(id: String, nowMillis: Long) {
        sends.getOrPut(id) { ArrayDeque() }.addLast(nowMillis)
    }
}

/** Two daemons may place work for a moment after a change, and others on their own beside them. */
private const val DEFAULT_SHARE = 0.3

/** Longer than the second that counts, for sends that were on their way. */
private const val WINDOW_MILLIS = 1_300L
