package org.bulrushtack.forward.peer

import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.store.KnowledgeSources
import org.bulrushtack.forward.store.LATE_MILLIS
import org.bulrushtack.forward.store.POLL_INTERVALS_MILLIS
import org.bulrushtack.forward.store.StoreReplica
import org.bulrushtack.protocol.SyncRequest
import org.bulrushtack.protocol.TopicPosition

/** Logs when this daemon stays without records that another one has, and when it has got them. */
internal class LagLog(
    private val replica: StoreReplica,
    private val sources: KnowledgeSources,
    private val log: EventLog,
) {
    private val lags = HashMap<StoreTopic, Lag>()

    /** Compares what the sender of [request] says that it has with the local replica. */
    fun record(request: SyncRequest, nowMillis: Long) = request.positionsList.forEach { position ->
        val topic = POLL_INTERVALS_MILLIS.keys.firstOrNull { it.name == position.topic }
        if (topic != null && isAhead(topic, position)) {
            val lag = lags.getOrPut(topic) {
                Lag(sinceMillis = nowMillis, firstEndOffset = position.endOffset, era = replica.era(topic))
            }
            if (position.endOffset > lag.lastEndOffset) {
                lag.lastEndOffset = position.endOffset
                lag.ahead = request.sender.name
            }
        }
    }

    /** Looks at how long records have been missing; called often. */
    fun tick(nowMillis: Long) = lags.entries.toList().forEach { (topic, lag) ->
        val isOver = replica.endOffset(topic) >= lag.firstEndOffset || replica.era(topic) != lag.era
        when {
            isOver -> end(topic, lag, nowMillis)
            !lag.isLogged && nowMillis - lag.sinceMillis >= LATE_MILLIS -> {
                lag.isLogged = true
                val fields = fields(topic, lag, nowMillis) + sources.fields(nowMillis)
                log.warn("This daemon is behind another one.", fields)
            }
        }
    }

    /** The longest time for which records of any topic have been missing. */
    fun behindMillis(nowMillis: Long): Long = lags.values.maxOfOrNull { nowMillis - it.sinceMillis } ?: 0

    /** Offsets of another era of the store say nothing about the local ones. */
    private fun isAhead(topic: StoreTopic, position: TopicPosition): Boolean {
        val era = CoordinationMessages.era(position.eraNumber) ?: replica.era(topic)
        return era == replica.era(topic) && position.endOffset > replica.endOffset(topic)
    }

    private fun end(topic: StoreTopic, lag: Lag, nowMillis: Long) {
        if (lag.isLogged) log.warn("This daemon is no longer behind another one.", fields(topic, lag, nowMillis))
        lags.remove(topic)
    }

    private fun fields(topic: StoreTopic, lag: Lag, nowMillis: Long) = listOf(
        LogField("topic", topic),
        LogField("ahead", lag.ahead),
        LogField("records", lag.lastEndOffset - maxOf(0, replica.endOffset(topic))),
        LogField("behind_millis", nowMillis - lag.sinceMillis),
        LogField("age_millis", replica.ageMillis(topic)),
    )

    private class Lag(
        val sinceMillis: Long,
        val firstEndOffset: Long,
        val era: Long,
    ) {
        var lastEndOffset = Long.MIN_VALUE
        var ahead: String? = null
        var isLogged = false
    }
}
