package org.bulrushtack.daemon.peer

import com.google.protobuf.ByteString
import org.bulrushtack.core.log.LogEntry
import org.bulrushtack.core.log.UnreadableRecord
import org.bulrushtack.core.membership.HeartbeatMessage
import org.bulrushtack.platform.LogRecordCodec
import org.bulrushtack.protocol.Heartbeat
import org.bulrushtack.core.membership.MemberDigest as CoreDigest
import org.bulrushtack.core.membership.ServerLoad as CoreLoad
import org.bulrushtack.protocol.LogEntry as WireEntry
import org.bulrushtack.protocol.MemberDigest as WireDigest
import org.bulrushtack.protocol.ServerLoad as WireLoad

/** Converts messages between daemons to their wire form and back. */
object PeerMessages {
    /** The wire form of a heartbeat. */
    fun toWire(message: HeartbeatMessage): Heartbeat = Heartbeat.newBuilder()
        .setSender(toWire(message.sender))
        .addAllMembers(message.members.map { toWire(it) })
        .addAllLoads(message.loads.map { toWire(it) })
        .setTailOffset(message.tailOffset)
        .setTailAgeMillis(message.tailAgeMillis ?: UNKNOWN_AGE_MILLIS)
        .build()

    /** A heartbeat from its wire form. */
    fun fromWire(message: Heartbeat): HeartbeatMessage = HeartbeatMessage(
        sender = fromWire(message.sender),
        members = message.membersList.map { fromWire(it) },
        loads = message.loadsList.map { fromWire(it) },
        tailOffset = message.tailOffset,
        tailAgeMillis = message.tailAgeMillis.takeIf { it != UNKNOWN_AGE_MILLIS },
    )

    /** The wire form of a log entry. */
    fun toWire(entry: LogEntry): WireEntry = WireEntry.newBuilder()
        .setOffset(entry.offset)
        .setAppendedAtMillis(entry.appendedAtMillis)
        .setRecord(ByteString.copyFrom(LogRecordCodec.encodeBytes(entry.record)))
        .build()

    /** A log entry from its wire form. */
    fun fromWire(entry: WireEntry): LogEntry = LogEntry(
        offset = entry.offset,
        appendedAtMillis = entry.appendedAtMillis,
        record = LogRecordCodec.decodeBytes(entry.record.toByteArray())
            .fold(ifLeft = { UnreadableRecord(id = "unreadable/${entry.offset}") }, ifRight = { it }),
    )

    private fun toWire(digest: CoreDigest): WireDigest = WireDigest.newBuilder()
        .setName(digest.name)
        .setIncarnation(digest.incarnation)
        .setHeartbeatCount(digest.heartbeatCount)
        .setAppliedOffset(digest.appliedOffset)
        .setLeaving(digest.leaving)
        .build()

    private fun fromWire(digest: WireDigest): CoreDigest = CoreDigest(
        name = digest.name,
        incarnation = digest.incarnation,
        heartbeatCount = digest.heartbeatCount,
        appliedOffset = digest.appliedOffset,
        leaving = digest.leaving,
    )

    private fun toWire(load: CoreLoad): WireLoad = WireLoad.newBuilder()
        .setServer(load.server)
        .setFreeTokens(load.freeTokens)
        .setCapacityTokens(load.capacityTokens)
        .setQueuedWork(load.queuedWorkMillis)
        .setRunning(load.running)
        .build()

    private fun fromWire(load: WireLoad): CoreLoad = CoreLoad(
        server = load.server,
        freeTokens = load.freeTokens,
        capacityTokens = load.capacityTokens,
        queuedWorkMillis = load.queuedWork,
        running = load.running,
    )
}

private const val UNKNOWN_AGE_MILLIS = -1L
