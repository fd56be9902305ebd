package org.bulrushtack.forward.peer

import org.bulrushtack.core.admission.RefusalReason
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.core.placement.Placement
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.protocol.PlacePart
import org.bulrushtack.protocol.PlaceRefused
import org.bulrushtack.protocol.PlaceReply
import org.bulrushtack.protocol.PlaceWaiting
import org.bulrushtack.protocol.Placed
import org.bulrushtack.protocol.TopicBatch
import org.bulrushtack.protocol.TopicRecord

/** Converts the messages between forwarding daemons to and from the daemon's own types. */
internal object CoordinationMessages {
    fun toWire(topic: StoreTopic, batch: RecordBatch, ageMillis: Long): TopicBatch = TopicBatch.newBuilder()
        .setTopic(topic.name)
        .setComplete(batch.complete)
        .setEndOffset(batch.endOffset)
        .setAgeMillis(ageMillis)
        .setEraNumber(eraNumber(batch.era))
        .addAllRecords(batch.records.map { toWire(it) })
        .build()

    fun fromWire(batch: TopicBatch): RecordBatch = RecordBatch(
        records = batch.recordsList.map { record ->
            StoreRecord(key = record.key, offset = record.offset, value = CompressedValues.value(record))
        },
        complete = batch.complete,
        endOffset = batch.endOffset,
        era = era(batch.eraNumber),
    )

    /** The number that stands for [era] in messages; 0 if it isn't known. */
    fun eraNumber(era: Long?): Long = if (era == null) 0 else era + 1

    /** The era that [number] stands for, or null if the sender, as one of an older build, doesn't know it. */
    fun era(number: Long): Long? = (number - 1).takeIf { it >= 0 }

    fun toWire(decision: PlacementDecision): PlaceReply = when (decision) {
        is PlacementDecision.Waiting -> PlaceReply.newBuilder().setWaiting(PlaceWaiting.getDefaultInstance())
        is PlacementDecision.Placed -> PlaceReply.newBuilder().setPlaced(placedToWire(decision))
        is PlacementDecision.Refused -> PlaceReply.newBuilder().setRefused(
            PlaceRefused.newBuilder().setKind(decision.kind.code).setRetryAfterMillis(decision.retryAfterMillis)
                .setReason(decision.reason.code),
        )
    }.build()

    fun fromWire(id: String, reply: PlaceReply): PlacementDecision = when (reply.resultCase) {
        PlaceReply.ResultCase.PLACED -> PlacementDecision.Placed(
            placement = Placement(
                id = id,
                first = fromWire(reply.placed.first),
                helpers = reply.placed.helpersList.map { fromWire(it) },
                timeToFirstTokenMillis = reply.placed.firstEventMillis,
            ),
            waitedMillis = reply.placed.waitedMillis,
        )
        PlaceReply.ResultCase.REFUSED -> PlacementDecision.Refused(
            id = id,
            kind = ErrorKind.fromCode(reply.refused.kind),
            retryAfterMillis = reply.refused.retryAfterMillis,
            reason = RefusalReason.fromCode(reply.refused.reason),
        )
        else -> PlacementDecision.Waiting(id)
    }

    private fun placedToWire(decision: PlacementDecision.Placed): Placed = Placed.newBuilder()
        .setFirst(toWire(decision.placement.first))
        .addAllHelpers(decision.placement.helpers.map { toWire(it) })
        .setFirstEventMillis(decision.placement.timeToFirstTokenMillis)
        .setWaitedMillis(decision.waitedMillis)
        .build()

    private fun toWire(part: PlacedPart): PlacePart = PlacePart.newBuilder()
        .setServerId(part.serverId)
        .setAddress(part.address)
        .setTicketTokens(part.reservedTokens)
        .build()

    private fun fromWire(part: PlacePart): PlacedPart =
        PlacedPart(serverId = part.serverId, address = part.address, reservedTokens = part.ticketTokens)

    private fun toWire(record: StoreRecord): TopicRecord = TopicRecord.newBuilder()
        .setKey(record.key)
        .setOffset(record.offset)
        .setDropped(record.value == null)
        .also { CompressedValues.put(it, record) }
        .build()
}
