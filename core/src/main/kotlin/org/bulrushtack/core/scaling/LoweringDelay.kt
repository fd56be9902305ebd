package org.bulrushtack.core.scaling

/**
 * Follows a wanted number of servers: up at once to what is enough, down only after a lower number was enough for
 * [delayMillis]. A step down goes to the highest number wanted in that time, and by at most a share of the number. A
 * pause between two calls starts the delay anew.
 */
internal class LoweringDelay(
    private val delayMillis: Long = DELAY_MILLIS,
) {
    private val wanted = ArrayDeque<Wanted>()
    private var number: Int? = null
    private var keptSinceMillis = 0L
    private var calledAtMillis = Long.MIN_VALUE / 2

    /**
     * The number to order when [want] servers are wanted, no fewer than [least] are enough, and [present] are there at
     * the first call.
     */
    fun follow(want: Int, least: Int, present: Int, nowMillis: Long): Int {
        if (nowMillis - calledAtMillis > LONGEST_PAUSE_MILLIS) keptSinceMillis = nowMillis
        calledAtMillis = nowMillis
        wanted.addLast(Wanted(number = want, atMillis = nowMillis))
        while (wanted.first().atMillis < nowMillis - delayMillis) wanted.removeFirst()
        val highest = wanted.maxOf { it.number }
        val current = number ?: present
        val isDue = nowMillis - keptSinceMillis >= delayMillis
        val next = when {
            least > current -> least
            highest < current && isDue -> maxOf(highest, current - maxOf(1, (current * STEP_SHARE).toInt()))
            else -> current
        }
        if (next != current) keptSinceMillis = nowMillis
        number = next
        return next
    }

    private data class Wanted(
        val number: Int,
        val atMillis: Long,
    )
}

/** With 2 s, trials billed 36 engine seconds less a day, but 0.8% of its worth was lost (docs/design/scaling.md). */
private const val DELAY_MILLIS = 3_000L

/** Several ticks of the duty. */
private const val LONGEST_PAUSE_MILLIS = 1_000L

/** The largest step down, as a share of the number. */
private const val STEP_SHARE = 0.33
