package org.bulrushtack.core.log

/** The owners of backend servers, as recorded in the log. */
public class OwnerTable {
    private val owners = LinkedHashMap<String, OwnerEntry>()

    /** The recorded owner of [server], or null when none was ever recorded. */
    public fun find(server: String): OwnerEntry? = owners[server]

    /** The table as rows. */
    public fun rows(): List<LogState.OwnerRow> =
        owners.map { (server, entry) -> LogState.OwnerRow(server = server, entry = entry) }

    internal fun load(rows: List<LogState.OwnerRow>) {
        owners.clear()
        rows.forEach { owners[it.server] = it.entry }
    }

    internal fun claim(record: OwnershipClaim, offset: Long): ApplyOutcome {
        val current = owners[record.server]
        if ((current?.epoch ?: 0) != record.replacesEpoch) return ApplyOutcome.Rejected()
        owners[record.server] = OwnerEntry(
            owner = record.owner,
            ownerIncarnation = record.ownerIncarnation,
            epoch = offset,
            predecessors = predecessorsAfter(current),
        )
        return ApplyOutcome.Accepted
    }

    internal fun release(record: OwnershipRelease, offset: Long): ApplyOutcome {
        val current = owners[record.server]
        if (current?.epoch != record.epoch) return ApplyOutcome.Rejected()
        owners[record.server] = OwnerEntry(
            owner = null,
            ownerIncarnation = null,
            epoch = offset,
            predecessors = current.predecessors,
        )
        return ApplyOutcome.Accepted
    }

    private fun predecessorsAfter(current: OwnerEntry?): List<OwnerEntry.Predecessor> {
        val owner = current?.owner
        val incarnation = current?.ownerIncarnation
        if (owner == null || incarnation == null) return current?.predecessors.orEmpty()
        val latest = OwnerEntry.Predecessor(owner = owner, incarnation = incarnation)
        return (current.predecessors - latest + latest).takeLast(MAXIMUM_PREDECESSORS)
    }
}

private const val MAXIMUM_PREDECESSORS = 4
