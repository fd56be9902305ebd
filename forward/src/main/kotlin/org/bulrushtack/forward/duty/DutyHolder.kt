package org.bulrushtack.forward.duty

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.duty.RetryDelay
import org.bulrushtack.core.duty.announcedHolder
import org.bulrushtack.core.duty.dutyCandidates
import org.bulrushtack.core.store.KeyedValue
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.wire.DutyCall
import kotlin.math.abs

/** Holds the duties for as long as this daemon's claim is the newest in the store, and lets the tasks perform them. */
internal class DutyHolder(
    private val leaseMillis: Long,
    private val daemons: DaemonTable,
    private val topic: DutyTopic,
    private val address: DutyAddress,
    private val tasks: List<DutyTask>,
    private val environment: DutyEnvironment,
) {
    private val thread = environment.thread
    private val claimant = DutyClaimant(daemons, topic, environment, leaseMillis, onClaimed = ::hold)
    private val retryDelay = RetryDelay(environment.random)
    private var isReading = false
    private var readAtMillis = Long.MIN_VALUE

    /** The current hold, or null while this daemon does not hold the duties. */
    var session: DutySession? = null
        private set

    /** Claims or performs the duties; [isSettled] tells whether this daemon has had time to learn of its peers. */
    fun tick(isSettled: Boolean) {
        val nowMillis = thread.nowMillis()
        val current = session
        val lossReason = lossReason(nowMillis)
        when {
            current == null -> if (isSettled && !daemons.self.leaving) claimant.tick(nowMillis)
            lossReason != null -> lose(lossReason)
            daemons.self.leaving && topic.canWrite && daemons.dutyCandidates(nowMillis).isNotEmpty() -> release(current)
            else -> {
                refreshTopic(nowMillis)
                thread.forEach(tasks) { it.tick(current, nowMillis) }
            }
        }
    }

    private fun lossReason(nowMillis: Long): String? {
        val token = session?.token ?: return null
        val announced = daemons.announcedHolder(nowMillis)?.dutyToken ?: 0
        val failingMillis = topic.failingSinceMillis?.let { nowMillis - it } ?: 0
        return when {
            announced > token -> "another daemon announces a later claim"
            topic.claim?.token != token -> "the store holds another claim"
            failingMillis > leaseMillis / FAILING_DIVISOR -> "the store does not serve this daemon"
            else -> null
        }
    }

    private fun refreshTopic(nowMillis: Long) {
        if (!topic.needsRead || isReading || nowMillis < readAtMillis) return
        isReading = true
        topic.read { succeeded ->
            isReading = false
            if (succeeded) retryDelay.reset() else readAtMillis = thread.nowMillis() + retryDelay.nextMillis()
        }
    }

    private fun hold(token: Long) {
        session = Hold(token = token, heldSinceMillis = thread.nowMillis())
        daemons.self = daemons.self.copy(dutyToken = token)
        environment.log.info("This daemon holds the duties.", LogField("token", token))
    }

    private fun lose(reason: String) {
        val lost = session ?: return
        val nowMillis = thread.nowMillis()
        session = null
        daemons.self = daemons.self.copy(dutyToken = null)
        claimant.onHoldLost(nowMillis)
        environment.log.warn(
            "This daemon no longer holds the duties.",
            LogField("token", lost.token),
            LogField("reason", reason),
            LogField("newest_token", topic.claim?.token),
            LogField("held_millis", nowMillis - lost.heldSinceMillis),
        )
        thread.forEach(tasks) { it.onHoldLost() }
    }

    /** Deletes the claim, so that another daemon need not wait for the lease to pass. */
    private fun release(current: DutySession) =
        topic.append(listOf(KeyedValue(HolderClaimCodec.KEY, ByteArray(0)))) { result ->
            if (session === current && result == DutyWriteResult.STORED) lose("this daemon is leaving")
        }

    private inner class Hold(
        override val token: Long,
        override val heldSinceMillis: Long,
    ) : DutySession {
        override fun call(call: DutyCall, onDone: (DutyCallResult) -> Unit) {
            val sentAtMillis = thread.nowMillis()
            val sentAtTimeOfDay = environment.timeOfDayMillis()
            topic.read { succeeded ->
                val elapsedMillis = thread.nowMillis() - sentAtMillis
                val clockDifference = environment.timeOfDayMillis() - sentAtTimeOfDay - elapsedMillis
                val isInTime = elapsedMillis < leaseMillis && abs(clockDifference) < SUSPENSION_MILLIS
                if (succeeded && session === this && topic.claim?.token != token) lose("the store holds another claim")
                if (succeeded && session === this && isInTime) send(call, onDone) else onDone(DutyCallResult.NOT_SENT)
            }
        }

        private fun send(call: DutyCall, onDone: (DutyCallResult) -> Unit) = address.send(call, token) { result ->
            if (result == DutyCallResult.FENCED && session === this) lose("the platform has seen a higher token")
            onDone(result)
        }
    }
}

/** Half a lease without the store, so that another daemon reports the last windows in time. */
private const val FAILING_DIVISOR = 2

/** The monotonic clock does not count a suspension, but the wall clock does; a jump of it only costs a retry. */
private const val SUSPENSION_MILLIS = 400L
