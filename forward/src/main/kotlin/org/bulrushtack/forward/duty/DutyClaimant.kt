package org.bulrushtack.forward.duty

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.duty.ClaimPolicy
import org.bulrushtack.core.duty.HolderClaim
import org.bulrushtack.core.duty.RetryDelay
import org.bulrushtack.core.duty.dutyCandidates
import org.bulrushtack.core.store.KeyedValue
import org.bulrushtack.forward.log.LogField

/**
 * Claims the duties when [ClaimPolicy] allows it. A claim without an answer may be stored later, so its nonce is kept;
 * each stored claim is taken up once at most.
 */
internal class DutyClaimant(
    private val daemons: DaemonTable,
    private val topic: DutyTopic,
    private val environment: DutyEnvironment,
    leaseMillis: Long,
    private val onClaimed: (token: Long) -> Unit,
) {
    private val policy = ClaimPolicy(name = daemons.self.name, leaseMillis = leaseMillis)
    private val retryDelay = RetryDelay(environment.random)
    private val unansweredNonces = HashSet<String>()
    private var isBusy = false
    private var retryAtMillis = Long.MIN_VALUE

    /** Reads the recorded claim and claims the duties where that is due. */
    fun tick(nowMillis: Long) {
        policy.observe(daemons.live(nowMillis), nowMillis)
        if (!isBusy && nowMillis >= retryAtMillis && policy.isReadDue(position(nowMillis), nowMillis)) readClaim()
    }

    /** Records that this daemon lost the duties. */
    fun onHoldLost(nowMillis: Long) = policy.onHoldLost(nowMillis)

    private fun position(nowMillis: Long): Int =
        daemons.dutyCandidates(nowMillis).indexOfFirst { it.name == daemons.self.name }

    private fun readClaim() {
        isBusy = true
        topic.read { succeeded ->
            isBusy = false
            if (succeeded) consider() else retryLater()
        }
    }

    private fun consider() {
        val nowMillis = environment.thread.nowMillis()
        val recorded = topic.claim
        policy.onRecordRead(recorded, nowMillis)
        when {
            recorded != null && isUnanswered(recorded) -> {
                unansweredNonces.remove(recorded.nonce)
                retryDelay.reset()
                onClaimed(recorded.token)
            }
            policy.mayClaim(position(nowMillis), nowMillis) -> if (topic.canWrite) claim() else retryLater()
        }
    }

    private fun isUnanswered(claim: HolderClaim): Boolean =
        claim.name == daemons.self.name && claim.incarnation == daemons.self.incarnation &&
            claim.nonce in unansweredNonces

    private fun claim() {
        val self = daemons.self
        val nonce = environment.random.nextLong().toULong().toString(NONCE_RADIX)
        val value = HolderClaimCodec.encode(self.name, self.incarnation, nonce)
        isBusy = true
        unansweredNonces.add(nonce)
        environment.log.info("This daemon claims the duties.", LogField("recorded_token", topic.claim?.token))
        topic.append(listOf(KeyedValue(HolderClaimCodec.KEY, value))) { result ->
            isBusy = false
            if (result != DutyWriteResult.UNKNOWN) unansweredNonces.remove(nonce)
            // A read that arrived before this answer may already have shown the claim that followed.
            val token = topic.claim?.takeIf { it.name == self.name && it.nonce == nonce }?.token
            if (result == DutyWriteResult.STORED && token != null) {
                retryDelay.reset()
                onClaimed(token)
            } else {
                environment.log.info("The claim was not stored.", LogField("result", result.name.lowercase()))
                retryLater()
            }
        }
    }

    private fun retryLater() {
        retryAtMillis = environment.thread.nowMillis() + retryDelay.nextMillis()
    }
}

private const val NONCE_RADIX = 16
