package org.bulrushtack.forward.duty

import org.bulrushtack.core.duty.RetryDelay
import org.bulrushtack.core.duty.UsageLedger
import org.bulrushtack.core.duty.UsageWindows
import org.bulrushtack.forward.log.LogField

/** Sends the stored reports of usage one at a time until the platform has accepted each of them. */
internal class UsageSender(
    private val records: UsageRecords,
    private val ledger: UsageLedger,
    private val windows: UsageWindows,
    private val trueTime: () -> Long,
    private val lateMillis: Long,
    private val environment: DutyEnvironment,
) {
    private val log = environment.log
    private val retryDelay = RetryDelay(environment.random)
    private val attempts = HashMap<Long, Int>()
    private var isCalling = false
    private var retryAtMillis = Long.MIN_VALUE

    /** The estimated true time. */
    val trueTimeMillis: Long get() = trueTime()

    /** The number of reports that the platform accepted from this daemon. */
    var acceptedCount: Int = 0
        private set

    /** The number of those that it accepted after they were due. */
    var lateCount: Int = 0
        private set

    /** The number of stored reports that the platform has not accepted, as far as is known here. */
    val pendingCount: Int get() = pending().size

    /** The time since the end of [window]. */
    fun ageMillis(window: Long): Long = windows.ageMillis(window, trueTime())

    /** Sends the next report if one is pending and no call is in flight. */
    fun sendNext(session: DutySession, nowMillis: Long) {
        if (isCalling || nowMillis < retryAtMillis) return
        val pending = pending()
        attempts.keys.retainAll(pending)
        // A report that the platform refuses must not hold up the others, nor one that is late those that are not.
        val order = compareBy<Long>({ attempts[it] ?: 0 }, { ageMillis(it) > lateMillis }, { it })
        pending.minWithOrNull(order)?.let { send(it, session) }
    }

    private fun send(window: Long, session: DutySession) {
        val call = records.call(window) ?: return
        isCalling = true
        attempts.merge(window, 1, Int::plus)
        session.call(call) { result ->
            isCalling = false
            if (result == DutyCallResult.ACCEPTED) onAccepted(window, session) else onFailure(window, session, result)
        }
    }

    private fun pending(): Set<Long> = records.storedWindows - ledger.accepted

    private fun onAccepted(window: Long, session: DutySession) {
        val ageMillis = ageMillis(window)
        retryDelay.reset()
        ledger.markAccepted(window)
        acceptedCount += 1
        if (ageMillis > lateMillis) lateCount += 1
        log.info(
            "A usage report was accepted.",
            LogField("window", window),
            LogField("token", session.token),
            LogField("attempts", attempts.remove(window)),
            LogField("age_millis", ageMillis),
        )
    }

    private fun onFailure(window: Long, session: DutySession, result: DutyCallResult) {
        retryAtMillis = environment.thread.nowMillis() + retryDelay.nextMillis()
        log.warn(
            "A usage report was not accepted.",
            LogField("window", window),
            LogField("token", session.token),
            LogField("result", result.name.lowercase()),
            LogField("attempts", attempts[window]),
            LogField("age_millis", ageMillis(window)),
        )
    }
}
