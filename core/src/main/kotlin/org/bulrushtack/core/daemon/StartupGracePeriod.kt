package org.bulrushtack.core.daemon

/**
 * The period after a start in which this daemon may not know the placement leader yet, so that engines that look free
 * to it may already be allocated by others.
 */
public class StartupGracePeriod(
    private val startedAtMillis: Long,
) {
    private var registeredAtMillis: Long? = null

    /** Records that the daemon has got its rank. */
    public fun markRegistered(nowMillis: Long) {
        registeredAtMillis = nowMillis
    }

    /** Whether the daemon has had enough time to learn of its peers. */
    public fun isOver(nowMillis: Long): Boolean {
        val registered = registeredAtMillis
        val isRegistered = registered != null && nowMillis - registered >= AFTER_REGISTRATION_MILLIS
        return isRegistered || nowMillis - startedAtMillis >= MAXIMUM_MILLIS
    }
}

/** Three syncs at the shorter interval of the grace period. */
private const val AFTER_REGISTRATION_MILLIS = 600L

/** While the store is unavailable no daemon gets a rank; after this time each places requests on its own. */
private const val MAXIMUM_MILLIS = 2_000L
