package org.bulrushtack.core.membership

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import kotlin.random.Random

/**
 * Maintains the membership: sends heartbeats to a few random daemons and gossips the digests of the others.
 * Reads the log and ledger regions and writes the members region.
 */
internal class MembershipController(
    private val blackboard: Blackboard,
    private val random: Random,
) : Controller {
    private val region = blackboard.members
    private var nextHeartbeatAtMillis = 0L

    override fun handle(event: Event, nowMillis: Long): List<Action> = when (event) {
        is Event.Tick -> heartbeats(nowMillis)
        is Event.VmListRead -> updateVms(event)
        is Event.HeartbeatReceived -> receive(event = event, nowMillis = nowMillis)
        is Event.DrainRequested -> startLeaving()
        is Event.ExitDue -> emptyList<Action>().also { region.exitDue = true }
        is Event.AdmissionEnded -> emptyList<Action>().also { region.admitsRequests = false }
        else -> emptyList()
    }

    private fun heartbeats(nowMillis: Long): List<Action> {
        updateQuorum(nowMillis)
        if (nowMillis < nextHeartbeatAtMillis) return emptyList()
        nextHeartbeatAtMillis = nowMillis + HEARTBEAT_INTERVAL_MILLIS
        region.heartbeatCount++
        val message = blackboard.heartbeat(nowMillis)
        return region.peers(blackboard.identity.name)
            .shuffled(random)
            .take(HEARTBEAT_FAN_OUT)
            .map { Action.SendHeartbeat(peer = it.name, address = it.peerAddress, message = message) }
    }

    private fun updateVms(event: Event.VmListRead): List<Action> {
        region.vms = event.records.associateBy { it.name }
        return emptyList()
    }

    private fun startLeaving(): List<Action> {
        region.leaving = true
        nextHeartbeatAtMillis = 0
        return emptyList()
    }

    private fun receive(event: Event.HeartbeatReceived, nowMillis: Long): List<Action> {
        val message = event.message
        message.members.forEach { merge(digest = it, direct = false, nowMillis = nowMillis) }
        merge(digest = message.sender, direct = true, nowMillis = nowMillis)
        updateQuorum(nowMillis)
        event.requestSentAtMillis?.let { region.lastAcknowledgedAtMillis[message.sender.name] = it }
        message.loads.forEach { load ->
            region.loads[load.server] = MembersRegion.OwnedLoad(
                owner = message.sender.name,
                load = load,
                receivedAtMillis = nowMillis,
            )
        }
        return emptyList()
    }

    /** Runs before each reply is counted, so that a loss of quorum is also detected after a pause of this process. */
    private fun updateQuorum(nowMillis: Long) {
        val hasQuorum = region.hasQuorum(
            self = blackboard.identity.name,
            nowMillis = nowMillis,
            windowMillis = QUORUM_WINDOW_MILLIS,
        )
        region.quorumSinceMillis = if (hasQuorum) region.quorumSinceMillis ?: nowMillis else null
    }

    private fun merge(digest: MemberDigest, direct: Boolean, nowMillis: Long) {
        if (digest.name == blackboard.identity.name) return
        val known = region.members[digest.name]
        region.members[digest.name] = when {
            known == null || replaces(digest = digest, known = known, direct = direct, nowMillis = nowMillis) ->
                Member(digest = digest, firstSeenAtMillis = nowMillis, lastHeartbeatAtMillis = nowMillis)
            digest.incarnation == known.digest.incarnation && digest.heartbeatCount > known.digest.heartbeatCount ->
                known.copy(digest = digest, lastHeartbeatAtMillis = nowMillis)
            else -> known
        }
    }

    /**
     * A delayed digest of an earlier incarnation must not displace a live one. After a restart with the clock set
     * back, the daemon's own digest counts once the lease of the earlier incarnation has expired.
     */
    private fun replaces(digest: MemberDigest, known: Member, direct: Boolean, nowMillis: Long): Boolean {
        val isLater = digest.incarnation > known.digest.incarnation
        val isOther = digest.incarnation != known.digest.incarnation
        return isLater || (isOther && direct && !region.isLive(name = digest.name, nowMillis = nowMillis))
    }
}

private const val HEARTBEAT_INTERVAL_MILLIS = 500L
private const val HEARTBEAT_FAN_OUT = 3
