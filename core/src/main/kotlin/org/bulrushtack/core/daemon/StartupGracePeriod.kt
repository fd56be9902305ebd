package org.bulrushtack.core.daemon

/**
 * The first moments of a daemon, in which others may place work on engines that this one takes for free, since it has
 * not heard who places for all.
 */
public class StartupGracePeriod(
    private val startedAtMillis: Long,
) {
    private var registeredAtMillis: Long? = null

    /** Notes that the daemon has its rank. */
    public fun registered(nowMillis: Long) {
        registeredAtMillis = nowMillis
    }

    /** Whether the daemon has had the time to hear of the others. */
    public fun isOver(nowMillis: Long): Boolean {
        val registered = registeredAtMillis
        val isRegistered = registered != null && nowMillis - registered >= AFTER_REGISTRATION_MILLIS
        return isRegistered || nowMillis - startedAtMillis >= LONGEST_MILLIS
    }
}

/** Three syncs of a young daemon. */
private const val AFTER_REGISTRATION_MILLIS = 600L

/** While the store is away no daemon gets a rank; then each goes on alone. */
private const val LONGEST_MILLIS = 2_000L
