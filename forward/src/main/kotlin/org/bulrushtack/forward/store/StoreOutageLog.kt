package org.bulrushtack.forward.store

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/**
 * Logs once when the store gets unavailable to this daemon and when it is back, and when the daemon takes turns or
 * reads in place of the first one in rank.
 */
internal class StoreOutageLog(
    private val replica: StoreReplica,
    private val log: EventLog,
    private val clock: MonotonicClock,
    private val isStopping: () -> Boolean,
) {
    private var unavailableFromMillis: Long? = null
    private var isSubstitute = false

    /** Whether this daemon takes its turns. */
    var takesTurns = false
        private set

    /** Records whether this daemon takes its turns, with [topic] as the next one to try. */
    fun recordTurns(isTurn: Boolean, topic: StoreTopic? = null) {
        if (isTurn && !takesTurns) {
            log.info(
                "No daemon passes on fresh records; this daemon takes its turns at reading the platform's store.",
                LogField("topic", topic),
                LogField("age_millis", topic?.let { replica.ageMillis(it) }),
            )
        }
        takesTurns = isTurn
    }

    /** Records whether this daemon reads the store for all in place of the first one in rank. */
    fun recordSubstitute(isSubstitute: Boolean) {
        if (isSubstitute != this.isSubstitute) {
            log.info(
                if (isSubstitute) {
                    "This daemon reads the platform's store in place of the first one in rank."
                } else {
                    "This daemon no longer reads the platform's store in place of another one."
                },
                LogField("age_millis", replica.ageMillis(StoreTopic.OPERATOR)),
            )
        }
        this.isSubstitute = isSubstitute
    }

    /** Records that this daemon tells the others whether it can read the store. */
    fun recordReadability(isUnreadable: Boolean) = log.info(
        "This daemon tells the others whether it can read the platform's store.",
        LogField("unreadable", isUnreadable),
        LogField("age_millis", replica.ageMillis(StoreTopic.OPERATOR)),
    )

    /** Records that a poll of [topic] failed. */
    fun recordFailure(topic: StoreTopic, failure: PlatformFailure) {
        if (unavailableFromMillis == null) {
            unavailableFromMillis = clock.nowMillis()
            log.warn(
                "The platform's store is unavailable.",
                LogField("topic", topic),
                LogField("reason", failure.reason),
                LogField("known_to", replica.endOffset(topic)),
                LogField("age_millis", replica.ageMillis(topic)),
                LogField("call", "poll"),
                LogField("stopping", isStopping()),
                LogField("version", replica.knowledge.version),
            )
        }
    }

    /** Records that a poll of [topic] succeeded. */
    fun recordSuccess(topic: StoreTopic) {
        val fromMillis = unavailableFromMillis ?: return
        unavailableFromMillis = null
        log.warn(
            "The platform's store is available again.",
            LogField("topic", topic),
            LogField("away_millis", clock.nowMillis() - fromMillis),
            LogField("age_millis", replica.ageMillis(topic)),
            LogField("version", replica.knowledge.version),
        )
    }
}
