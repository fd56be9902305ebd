package org.bulrushtack.core.log

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import kotlin.random.Random

/**
 * Applies entries read from the log and tracks the log's tail, as given by the log itself or by a peer's reply.
 * Reads the members region and writes the log region.
 */
internal class LogController(
    private val blackboard: Blackboard,
    private val random: Random,
) : Controller {
    private val region = blackboard.log
    private var nextPeerReadAtMillis = 0L

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        region.appliedEntries = emptyList()
        when (event) {
            is Event.RecordsRead -> applyRead(event)
            is Event.HeartbeatReceived -> updateTailFromPeer(event = event, nowMillis = nowMillis)
            is Event.Tick -> return readFromPeer(nowMillis)
            else -> Unit
        }
        return emptyList()
    }

    private fun applyRead(event: Event.RecordsRead) {
        region.appliedEntries = event.entries.mapNotNull { apply(it) }
        val tail = event.tailOffset ?: return
        updateTail(tailOffset = tail, knownAtMillis = event.requestedAtMillis)
        if (region.projection.appliedOffset >= region.tailOffset) region.configured = true
    }

    /** Applies the next entry; a snapshot first replaces a state that is older than it. */
    private fun apply(entry: LogEntry): AppliedEntry? {
        val projection = region.projection
        val record = entry.record
        if (record is Snapshot) load(record)
        val applied = if (entry.offset == projection.appliedOffset + 1) projection.apply(entry) else null
        if (applied != null) addRecent(entry)
        return applied
    }

    private fun addRecent(entry: LogEntry) {
        region.recent.addLast(entry)
        if (region.recent.size > MAXIMUM_RECENT_ENTRIES) region.recent.removeFirst()
    }

    private fun load(snapshot: Snapshot) {
        if (region.projection.load(snapshot.state)) region.recent.clear()
    }

    /** A reply proves the tail as of when this daemon sent its heartbeat, less the age that the peer reported. */
    private fun updateTailFromPeer(event: Event.HeartbeatReceived, nowMillis: Long) {
        val sentAtMillis = event.requestSentAtMillis ?: return
        val ageMillis = event.message.tailAgeMillis ?: return
        updateTail(tailOffset = event.message.tailOffset, knownAtMillis = sentAtMillis - ageMillis)
        val hasQuorum = blackboard.members.hasQuorum(
            self = blackboard.identity.name,
            nowMillis = nowMillis,
            windowMillis = STARTUP_QUORUM_WINDOW_MILLIS,
        )
        if (hasQuorum && region.projection.appliedOffset >= region.tailOffset) region.configured = true
    }

    private fun updateTail(tailOffset: Long, knownAtMillis: Long) {
        if (tailOffset < region.tailOffset) return
        val known = region.tailKnownAtMillis
        if (tailOffset > region.tailOffset || known == null || knownAtMillis > known) {
            region.tailKnownAtMillis = knownAtMillis
        }
        region.tailOffset = tailOffset
    }

    /** Reads entries from a random live peer that has applied more, so that a daemon without the log can catch up. */
    private fun readFromPeer(nowMillis: Long): List<Action> {
        if (nowMillis < nextPeerReadAtMillis) return emptyList()
        nextPeerReadAtMillis = nowMillis + PEER_READ_INTERVAL_MILLIS
        val members = blackboard.members
        return members.members.values
            .filter { it.digest.appliedOffset > region.projection.appliedOffset }
            .filter { members.isLive(name = it.digest.name, nowMillis = nowMillis) }
            .mapNotNull { members.vms[it.digest.name] }
            .shuffled(random)
            .take(1)
            .map { vm ->
                Action.ReadFromPeer(
                    peer = vm.name,
                    address = vm.peerAddress,
                    afterOffset = region.projection.appliedOffset,
                )
            }
    }
}

private const val MAXIMUM_RECENT_ENTRIES = 2_000
private const val PEER_READ_INTERVAL_MILLIS = 500L
private const val STARTUP_QUORUM_WINDOW_MILLIS = 5_000L
