package org.bulrushtack.core.log

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.RecordIdentifiers

/**
 * Appends a snapshot of the folded state well before the log's records expire. The live daemon with the
 * lowest name does it, also while nothing changes, since snapshots expire too; two at once do no harm.
 * Reads the members region, writes pending records.
 */
internal class SnapshotController(
    private val blackboard: Blackboard,
    private val identifiers: RecordIdentifiers,
) : Controller {
    private var lastOffset = 0L
    private var lastAtMillis: Long? = null

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        val region = blackboard.log
        region.folded.lastOrNull { it.entry.record is Snapshot }?.let {
            lastOffset = it.entry.offset
            lastAtMillis = nowMillis
        }
        if (event is Event.Tick && isDue(nowMillis) && isMine(nowMillis)) {
            lastOffset = region.folder.appliedOffset
            lastAtMillis = nowMillis
            region.append(
                record = Snapshot(
                    id = identifiers.next(),
                    throughOffset = region.folder.appliedOffset,
                    state = region.folder.state(),
                ),
                givesUpAtMillis = nowMillis + SNAPSHOT_PATIENCE_MILLIS,
            )
        }
        return emptyList()
    }

    private fun isDue(nowMillis: Long): Boolean {
        val region = blackboard.log
        if (!region.configured || !region.isConfirmed(nowMillis)) return false
        val lastAt = lastAtMillis ?: nowMillis.also { lastAtMillis = it }
        val entries = region.folder.appliedOffset - lastOffset
        return entries >= SNAPSHOT_ENTRIES || nowMillis - lastAt >= SNAPSHOT_INTERVAL_MILLIS
    }

    private fun isMine(nowMillis: Long): Boolean =
        blackboard.members.stayingMembers(nowMillis).all { it > blackboard.identity.name }
}

private const val SNAPSHOT_ENTRIES = 5_000L
private const val SNAPSHOT_INTERVAL_MILLIS = 600_000L
private const val SNAPSHOT_PATIENCE_MILLIS = 30_000L
