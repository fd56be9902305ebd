package org.bulrushtack.forward.peer

import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.store.StoreReplica
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest
import org.bulrushtack.protocol.TopicPosition

/** Tells peers how far the local [replica] goes, sends them what they lack, and finds out who has more. */
internal class TopicPositions(
    private val replica: StoreReplica,
) {
    /** Adds the positions of all topics to [request]. */
    fun addTo(request: SyncRequest.Builder) = StoreTopic.entries.filter { it.isReplicated }.forEach { topic ->
        request.addPositions(
            TopicPosition.newBuilder()
                .setTopic(topic.name)
                .setEndOffset(replica.endOffset(topic))
                .setEraNumber(CoordinationMessages.eraNumber(replica.era(topic)))
                .setAgeMillis(replica.announcedAgeMillis(topic)),
        )
    }

    /** Adds to [reply] the records that the sender of [request] lacks; nothing where it knows a later era. */
    fun addBatches(reply: SyncReply.Builder, request: SyncRequest) = request.positionsList.forEach { position ->
        val topic = topic(position)
        val ageMillis = topic?.let { replica.announcedAgeMillis(it) } ?: Long.MAX_VALUE
        if (topic != null && ageMillis != Long.MAX_VALUE) {
            val era = CoordinationMessages.era(position.eraNumber) ?: replica.era(topic)
            val missing = replica.since(topic, position.endOffset, era)
            val batch = missing ?: emptyBatch(topic, endOffset = minOf(position.endOffset, replica.endOffset(topic)))
            val isUseful = if (era == replica.era(topic)) batch.endOffset >= position.endOffset else missing != null
            if (isUseful) reply.addBatches(CoordinationMessages.toWire(topic, batch, ageMillis))
        }
    }

    /** Whether the sender of [request] has records that this daemon should get from it. */
    fun isBehind(request: SyncRequest, isFresher: Boolean): Boolean = request.positionsList.any { position ->
        val topic = topic(position)
        val ageMillis = position.ageMillis.takeIf { it > 0 } ?: Long.MAX_VALUE
        val era = CoordinationMessages.era(position.eraNumber)
        topic != null && replica.isBehind(topic, position.endOffset, era, ageMillis, isFresher)
    }

    private fun emptyBatch(topic: StoreTopic, endOffset: Long) =
        RecordBatch(records = emptyList(), complete = false, endOffset = endOffset, era = replica.era(topic))

    private fun topic(position: TopicPosition): StoreTopic? =
        StoreTopic.entries.firstOrNull { it.name == position.topic && it.isReplicated }
}

/**
 * The age of [topic] to tell other daemons, or [Long.MAX_VALUE] before the first read. Sender and receiver count whole
 * milliseconds and may each lose one; an age that is passed on and comes back would get younger.
 */
internal fun StoreReplica.announcedAgeMillis(topic: StoreTopic): Long =
    ageMillis(topic).let { if (it == Long.MAX_VALUE) it else it + ROUNDED_MILLIS }

/** What the two daemons may lose that pass on an age. */
private const val ROUNDED_MILLIS = 2L
