package org.bulrushtack.forward.store

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.forward.log.LogField

/** Remembers the last failed poll of the store and the last failed sync with a peer. */
internal class RecentFailures(
    private val clock: MonotonicClock,
) {
    private var poll: Failure? = null
    private var sync: Failure? = null

    /** Records that a poll of the store failed for [reason]. */
    fun recordPoll(reason: String) {
        poll = Failure(atMillis = clock.nowMillis(), reason = reason.take(MAXIMUM_LENGTH))
    }

    /** Records that a sync with the daemon at [address] failed for [reason]. */
    fun recordSync(address: String, reason: String?) {
        sync = Failure(atMillis = clock.nowMillis(), reason = "$address: $reason".take(MAXIMUM_LENGTH))
    }

    /** The failures and the time since each one as fields of a log line. */
    fun fields(): List<LogField> = listOf(
        LogField("poll_failed_millis", poll?.let { clock.nowMillis() - it.atMillis }),
        LogField("sync_failed_millis", sync?.let { clock.nowMillis() - it.atMillis }),
        LogField("poll_reason", poll?.reason),
        LogField("sync_reason", sync?.reason),
    )

    private data class Failure(
        val atMillis: Long,
        val reason: String,
    )
}

private const val MAXIMUM_LENGTH = 80
