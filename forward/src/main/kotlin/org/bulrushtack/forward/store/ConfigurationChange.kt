package org.bulrushtack.forward.store

/**
 * A version of the configuration that was applied.
 *
 * @property previous the version that it replaces, or null
 * @property source the store, or the name of the daemon that passed it on
 * @property ageMillis the time since it was read from the store, by whichever daemon
 * @property unreadMillis the time between the read that brought it and the last one before that this daemon knew of
 */
internal data class ConfigurationChange(
    val version: Long,
    val previous: Long?,
    val source: String,
    val appliedAtMillis: Long,
    val ageMillis: Long,
    val unreadMillis: Long,
    val decodeMillis: Long,
    val applyMillis: Long,
) {
    /** The number of versions between the previous one and this one, which this daemon never applied. */
    val skipped: Long get() = previous?.let { maxOf(0, version - it - 1) } ?: 0

    /** Whether the version may have reached this daemon later than changes should. */
    val isLate: Boolean get() = previous != null && maxOf(ageMillis, unreadMillis) > LATE_MILLIS
}

/** Half of the time in which a change has to be in force at every daemon. */
internal const val LATE_MILLIS = 1_000L
