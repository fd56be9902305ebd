package org.bulrushtack.core.log

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import kotlin.random.Random

/**
 * Folds what was read of the log and learns of its tail, from the log itself or from a peer's answer.
 * Reads the members region, writes the log region.
 */
internal class LogController(
    private val blackboard: Blackboard,
    private val random: Random,
) : Controller {
    private val region = blackboard.log
    private var nextPeerReadAtMillis = 0L

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        region.folded = emptyList()
        when (event) {
            is Event.RecordsRead -> read(event)
            is Event.HeartbeatReceived -> learnTail(event = event, nowMillis = nowMillis)
            is Event.Tick -> return readFromPeer(nowMillis)
            else -> Unit
        }
        return emptyList()
    }

    private fun read(event: Event.RecordsRead) {
        region.folded = event.entries.mapNotNull { fold(it) }
        val tail = event.tailOffset ?: return
        confirm(tailOffset = tail, knownAtMillis = event.askedAtMillis)
        if (region.folder.appliedOffset >= region.tailOffset) region.configured = true
    }

    /** Folds the entry that comes next; a snapshot first replaces a state that ends before it. */
    private fun fold(entry: LogEntry): FoldedEntry? {
        val folder = region.folder
        val record = entry.record
        if (record is Snapshot) load(record)
        val folded = if (entry.offset == folder.appliedOffset + 1) folder.fold(entry) else null
        if (folded != null) remember(entry)
        return folded
    }

    private fun remember(entry: LogEntry) {
        region.recent.addLast(entry)
        if (region.recent.size > RECENT_ENTRIES) region.recent.removeFirst()
    }

    private fun load(snapshot: Snapshot) {
        if (region.folder.load(snapshot.state)) region.recent.clear()
    }

    /** An answer proves the tail as of when this daemon asked, less the age that the peer gave. */
    private fun learnTail(event: Event.HeartbeatReceived, nowMillis: Long) {
        val askedAtMillis = event.answersAskedAtMillis ?: return
        val ageMillis = event.message.tailAgeMillis ?: return
        confirm(tailOffset = event.message.tailOffset, knownAtMillis = askedAtMillis - ageMillis)
        val heard = blackboard.members.hearsMajority(
            self = blackboard.identity.name,
            nowMillis = nowMillis,
            windowMillis = PEER_START_WINDOW_MILLIS,
        )
        if (heard && region.folder.appliedOffset >= region.tailOffset) region.configured = true
    }

    private fun confirm(tailOffset: Long, knownAtMillis: Long) {
        if (tailOffset < region.tailOffset) return
        val known = region.tailKnownAtMillis
        if (tailOffset > region.tailOffset || known == null || knownAtMillis > known) {
            region.tailKnownAtMillis = knownAtMillis
        }
        region.tailOffset = tailOffset
    }

    /** A daemon that is behind its peers and hears nothing of the log reads what they hold. */
    private fun readFromPeer(nowMillis: Long): List<Action> {
        if (nowMillis < nextPeerReadAtMillis) return emptyList()
        nextPeerReadAtMillis = nowMillis + PEER_READ_MILLIS
        val members = blackboard.members
        return members.members.values
            .filter { it.digest.appliedOffset > region.folder.appliedOffset }
            .filter { members.isLive(name = it.digest.name, nowMillis = nowMillis) }
            .mapNotNull { members.vms[it.digest.name] }
            .shuffled(random)
            .take(1)
            .map { vm ->
                Action.ReadFromPeer(
                    peer = vm.name,
                    address = vm.peerAddress,
                    afterOffset = region.folder.appliedOffset,
                )
            }
    }
}

private const val RECENT_ENTRIES = 2_000
private const val PEER_READ_MILLIS = 500L
private const val PEER_START_WINDOW_MILLIS = 5_000L
