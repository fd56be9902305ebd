package org.bulrushtack.forward.store

/** Which configuration is in force, where it came from, and when it was last confirmed. */
internal class ConfigurationStatus {
    private var change: ConfigurationChange? = null

    /** When the operators' records were last read to their end, by whichever daemon, or null. */
    var confirmedAtMillis: Long? = null
        private set

    /** The number of versions that were applied late. */
    var lateCount = 0
        private set

    /** How long the newest version took to be decoded and applied. */
    val applicationMillis: Long get() = change?.let { it.decodeMillis + it.applyMillis } ?: 0

    /** Records that the operators' records were read to their end at [atMillis]. */
    fun recordConfirmed(atMillis: Long) {
        confirmedAtMillis = maxOf(confirmedAtMillis ?: atMillis, atMillis)
    }

    /** Records that [change] was applied. */
    fun recordApplied(change: ConfigurationChange) {
        this.change = change
        if (change.isLate) lateCount += 1
    }

    /** What this daemon goes by at [nowMillis]. */
    fun at(nowMillis: Long) = ConfigurationKnowledge(
        version = change?.version,
        knownMillis = confirmedAtMillis?.let { nowMillis - it },
        appliedMillis = change?.let { nowMillis - it.appliedAtMillis },
        source = change?.source,
    )
}
