package org.bulrushtack.forward.store

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.storeReader
import org.bulrushtack.core.daemon.storeUnreadableCount
import org.bulrushtack.core.daemon.substituteReaders
import org.bulrushtack.core.store.OutageReadSchedule
import org.bulrushtack.core.store.StoreReadability

/**
 * The part of this daemon in reading the platform's store, as far as it follows from what the daemons in [daemons] say
 * of themselves, and what this one says of itself.
 *
 * @property schedule decides when it tries although it can't read the store or nobody has read it
 */
internal class ReaderRole(
    private val daemons: DaemonTable,
    val schedule: OutageReadSchedule,
) {
    private val readability = StoreReadability()
    private var reader: String? = null
    private var readerSinceMillis = 0L
    private var hasTried = false
    private var hasTakenOver = false
    private var isCandidate = false

    /** Whether this daemon reads on behalf of all. */
    var isReader = false
        private set

    /** Whether it does so in place of the first one in rank, which can't. */
    var isSubstitute = false
        private set

    /** Whether this daemon can't read the store at present. */
    val isUnreadable: Boolean get() = readability.isUnreadable

    /** Whether this daemon is shutting down. */
    val isLeaving: Boolean get() = daemons.self.leaving

    /** How long a poll may go without a reply. */
    val silenceMillis: Long get() = readability.silenceMillis

    /** Whether this daemon polls at fixed intervals: as the first one in rank, or once it has read as a substitute. */
    val polls: Boolean get() = isReader && hasTakenOver

    /** Whether this daemon is to try to read the store in place of daemons that can't. */
    val mayTakeOver: Boolean get() = isCandidate && !hasTakenOver && !hasTried

    /** Follows the changes of the table. */
    fun update(nowMillis: Long) {
        val previous = reader
        val self = daemons.self.name
        val substitutes = daemons.substituteReaders(nowMillis).map { it.name }
        reader = daemons.storeReader(nowMillis)?.name
        isReader = reader == self
        isSubstitute = isReader && substitutes.isNotEmpty()
        isCandidate = self in substitutes
        hasTakenOver = isReader && (hasTakenOver || !isSubstitute)
        if (reader != previous) readerSinceMillis = nowMillis
        if (reader != previous || !isCandidate) hasTried = false
    }

    /** How long this daemon still waits before it takes over, which it does at once unless the store may be away. */
    fun waitMillis(nowMillis: Long): Long =
        readerSinceMillis + (if (isOutageLikely(nowMillis)) TAKE_OVER_MILLIS else 0) - nowMillis

    /** Whether so many daemons can't read the store that it may be away. */
    fun isOutageLikely(nowMillis: Long): Boolean = daemons.storeUnreadableCount(nowMillis) >= MANY_UNREADABLE

    /** Records a try to take over. The daemon after the reader tries once. */
    fun recordTry() {
        hasTried = !isReader
    }

    /** Records that this daemon has read the store. */
    fun recordRead() {
        hasTakenOver = true
    }

    /** Lets [judge] decide whether this daemon can read the store; returns whether that has changed. */
    fun review(nowMillis: Long, judge: StoreReadability.() -> Unit): Boolean {
        readability.judge()
        val hasChanged = isUnreadable != daemons.self.storeUnreadable
        if (hasChanged) {
            daemons.self = daemons.self.copy(storeUnreadable = isUnreadable)
            update(nowMillis)
        }
        return hasChanged
    }

    /** The number of daemons that share the tries of those that can't read the store. */
    fun failingCount(nowMillis: Long): Int = maxOf(1, daemons.storeUnreadableCount(nowMillis))
}

/** With fewer daemons that can't read the store, the next ones don't wait. */
private const val MANY_UNREADABLE = 4

/** Keeps many daemons close to one another from trying all within milliseconds when the store goes away. */
private const val TAKE_OVER_MILLIS = 50L
