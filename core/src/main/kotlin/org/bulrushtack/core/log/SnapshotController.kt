package org.bulrushtack.core.log

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.RecordIdentifiers

/**
 * Appends a snapshot of the log's state well before the log's records expire. The live daemon with the lowest
 * name does so, also while nothing changes, since snapshots expire too; two snapshots at once are harmless.
 * Reads the members region and writes pending records.
 */
internal class SnapshotController(
    private val blackboard: Blackboard,
    private val identifiers: RecordIdentifiers,
) : Controller {
    private var lastOffset = 0L
    private var lastAtMillis: Long? = null

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        val region = blackboard.log
        region.appliedEntries.lastOrNull { it.entry.record is Snapshot }?.let {
            lastOffset = it.entry.offset
            lastAtMillis = nowMillis
        }
        if (event is Event.Tick && isDue(nowMillis) && isResponsible(nowMillis)) {
            lastOffset = region.projection.appliedOffset
            lastAtMillis = nowMillis
            region.append(
                record = Snapshot(
                    id = identifiers.next(),
                    throughOffset = region.projection.appliedOffset,
                    state = region.projection.state(),
                ),
                deadlineAtMillis = nowMillis + SNAPSHOT_TIMEOUT_MILLIS,
            )
        }
        return emptyList()
    }

    private fun isDue(nowMillis: Long): Boolean {
        val region = blackboard.log
        if (!region.configured || !region.isConfirmed(nowMillis)) return false
        val lastAt = lastAtMillis ?: nowMillis.also { lastAtMillis = it }
        val entries = region.projection.appliedOffset - lastOffset
        return entries >= SNAPSHOT_INTERVAL_ENTRIES || nowMillis - lastAt >= SNAPSHOT_INTERVAL_MILLIS
    }

    private fun isResponsible(nowMillis: Long): Boolean =
        blackboard.members.activeMembers(nowMillis).all { it > blackboard.identity.name }
}

private const val SNAPSHOT_INTERVAL_ENTRIES = 5_000L
private const val SNAPSHOT_INTERVAL_MILLIS = 600_000L
private const val SNAPSHOT_TIMEOUT_MILLIS = 30_000L
