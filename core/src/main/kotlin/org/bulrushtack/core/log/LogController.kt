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
        if (entry.offset != folder.appliedOffset + 1) return null
        val folded = folder.fold(entry) ?: return null
        region.recent.addLast(entry)
        if (region.recent.size > RECENT_ENTRIES) region.recent.removeFirst()
        return folded
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
        val ahead = blackboard.members.members.values.filter { member ->
            member.digest.appliedOffset > region.folder.appliedOffset &&
                blackboard.members.isLive(name = member.digest.name, nowMillis = nowMillis)
        }
        val peer = ahead.randomOrNull(random) ?: return emptyList()
        val address = blackboard.members.vms[peer.digest.name]?.peerAddress ?: return emptyList()
        nextPeerReadAtMillis = nowMillis + PEER_READ_MILLIS
        return listOf(
            Action.ReadFromPeer(
                peer = peer.digest.name,
                address = address,
                afterOffset = region.folder.appliedOffset,
            ),
        )
    }
}

private const val RECENT_ENTRIES = 2_000
private const val PEER_READ_MILLIS = 500L
private const val PEER_START_WINDOW_MILLIS = 5_000L
