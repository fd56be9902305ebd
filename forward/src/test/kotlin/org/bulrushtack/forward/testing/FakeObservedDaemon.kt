package org.bulrushtack.forward.testing

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.route.CallerLimits
import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.exchange.RequestLog
import org.bulrushtack.forward.lifecycle.LatenessLogs
import org.bulrushtack.forward.lifecycle.ThreadDelayLog
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.peer.CoordinationMessages
import org.bulrushtack.forward.peer.DaemonMessages
import org.bulrushtack.forward.peer.LagLog
import org.bulrushtack.forward.store.ConfirmationLog
import org.bulrushtack.forward.store.KnowledgeSources
import org.bulrushtack.forward.store.RecentFailures
import org.bulrushtack.protocol.SyncRequest
import org.bulrushtack.protocol.TopicPosition

/**
 * The replica of one daemon with its logs. The version of a configuration is the offset of its record; [isReadable]
 * tells whether it can be decoded.
 */
internal class FakeObservedDaemon(
    private val isReadable: (version: Long) -> Boolean = { true },
) {
    val time = FakeTime()
    val daemons: DaemonTable = FakeDaemon.table(number = 1)
    val failures = RecentFailures(time)
    private val logs = EventLogs(time)
    private val state = FakeDaemon.state(daemons)
    private val sources = KnowledgeSources(daemons, failures)
    val replica = FakeDaemon.replica(daemons, FakeRecordStore(), time, state, decoder = { _, record ->
        check(isReadable(record.offset)) { "unexpected" }
        StoreUpdate.Configuration(
            RoutingConfiguration(record.offset, emptyList(), emptyList(), CallerLimits(), workspaces = null),
        )
    })
    private val lagLog = LagLog(replica, sources, logs.forComponent("peers"))
    val lateness = LatenessLogs(
        status = state.configuration,
        delays = ThreadDelayLog(TICK_MILLIS, logs.forComponent("life"), collectionMillis = { time.nowMillis() / 2 }),
        confirmations = ConfirmationLog(state.configuration, sources, logs.forComponent("knowledge")),
        lags = lagLog,
        clock = time,
    )
    private val requestLog = RequestLog(logs.forComponent("front"))

    /** Lets [millis] pass, with all ticks. */
    fun run(millis: Long) = repeat((millis / TICK_MILLIS).toInt()) {
        time.advance(TICK_MILLIS)
        lateness.tick(time.nowMillis())
    }

    /** Lets [millis] pass in which the process does nothing. */
    fun freeze(millis: Long) {
        time.jump(millis)
        lateness.tick(time.nowMillis())
    }

    /** Merges what [source] read [ageMillis] ago: the configurations up to [version]. */
    fun merge(version: Long, source: String = "store", ageMillis: Long = 4) = replica.merge(
        topic = StoreTopic.OPERATOR,
        batch = RecordBatch(
            records = listOf(StoreRecord(key = "config", offset = version, value = byteArrayOf(1))),
            complete = false,
            endOffset = version + 1,
        ),
        ageMillis = ageMillis,
        source = source,
    )

    /** Hears from daemon [number] that it has the configurations up to [version], in [era] of the store if known. */
    fun hear(number: Int, version: Long, era: Long? = null) {
        val sender = FakeDaemon.info(number)
        daemons.observe(sender, atMillis = time.nowMillis(), direct = true)
        val position = TopicPosition.newBuilder()
            .setTopic(StoreTopic.OPERATOR.name)
            .setEndOffset(version + 1)
            .setAgeMillis(1)
            .setEraNumber(CoordinationMessages.eraNumber(era))
        val request = SyncRequest.newBuilder()
            .setSender(DaemonMessages.toWire(sender, ageMillis = 0))
            .addPositions(position)
            .build()
        lagLog.record(request, time.nowMillis())
    }

    /** Rejects a request whose route is not in the configuration in force. */
    fun reject(id: String = "242fdcb0950f992f") =
        requestLog.recordRejected(id, ErrorKind.UNKNOWN_PATH, replica.knowledge)

    private companion object {
        const val TICK_MILLIS = 100L
    }
}
