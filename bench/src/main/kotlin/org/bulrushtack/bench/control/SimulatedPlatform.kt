package org.bulrushtack.bench.control

import org.bulrushtack.core.log.CallClaim
import org.bulrushtack.core.log.CallKey
import org.bulrushtack.core.log.LogEntry
import org.bulrushtack.core.log.LogRecord
import org.bulrushtack.core.log.OwnershipClaim
import org.bulrushtack.core.log.SettingsEdit
import org.bulrushtack.core.membership.VmKind
import org.bulrushtack.core.membership.VmRecord
import org.bulrushtack.core.membership.VmState
import org.bulrushtack.core.settings.SettingAddress
import org.bulrushtack.core.settings.SettingChange
import org.bulrushtack.core.settings.SettingsPath

/** A VM list of a given size and a log that holds the workspaces, claims and ownerships. */
internal class SimulatedPlatform(
    size: SystemSize,
) {
    /** The VM list. */
    val vms: List<VmRecord> = List(size.daemons) { vm("vm-$it", VmKind.ENTRY, it) } +
        List(size.servers) { vm("engine-$it", VmKind.ENGINE, it) }

    private val entries = ArrayList<LogEntry>()

    init {
        append(List(size.workspaces) { workspaceEdit(it) })
        append(List(size.claims) { callClaim(it) })
        if (size.daemons > 1) append(List(size.servers) { ownershipClaim(it, owner = 1 + it % (size.daemons - 1)) })
    }

    /** The offset of the last log entry. */
    val tailOffset: Long get() = entries.size.toLong()

    /** Appends records to the log. */
    fun append(records: List<LogRecord>) = records.forEach { record ->
        entries.add(LogEntry(offset = tailOffset + 1, appendedAtMillis = 0, record = record))
    }

    /** The entries after [offset]. */
    fun entriesAfter(offset: Long): List<LogEntry> = entries.subList(offset.toInt(), entries.size).toList()

    private fun workspaceEdit(number: Int): LogRecord {
        val path = SettingsPath.ROOT.child("workspaces").child("workspace-$number")
        val hash = "%064x".format(number)
        val values = listOf("key-hashes" to hash, "max-running" to "100", "deadline-seconds" to "60")
        val changes = values.map { (key, value) ->
            SettingChange(address = SettingAddress(path = path, key = key), value = value, expectedVersion = 0)
        }
        return SettingsEdit(id = "edit/$number", operator = "operator", changes = changes)
    }

    private fun callClaim(number: Int): LogRecord = CallClaim(
        id = "vm-1/019a3f29cf06-00000000/$number",
        call = CallKey(workspace = "workspace-1", service = "booking", idempotencyKey = "%036d".format(number)),
        claimant = "vm-1",
        claimantIncarnation = "019a3f29cf06-00000000",
        fingerprint = "%064x".format(number),
    )

    private fun ownershipClaim(number: Int, owner: Int): LogRecord = OwnershipClaim(
        id = "ownership/$number",
        server = "engine-$number",
        owner = "vm-$owner",
        ownerIncarnation = "019a3f29cf06-00000000",
        replacesEpoch = 0,
    )

    private fun vm(name: String, kind: VmKind, number: Int): VmRecord = VmRecord(
        name = name,
        kind = kind,
        dataCentre = "dc-${number % DATA_CENTRES}",
        state = VmState.LIVE,
        httpAddress = "10.0.0.1:${1_000 + number}",
        peerAddress = if (kind == VmKind.ENTRY) "10.0.0.1:${2_000 + number}" else "",
        serves = if (kind == VmKind.ENTRY) emptyList() else listOf("atlas"),
    )
}

private const val DATA_CENTRES = 4
