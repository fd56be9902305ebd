package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.placement.PlacementBroker
import org.bulrushtack.forward.store.StoreReplica
import org.bulrushtack.protocol.CoordinationMethods
import org.bulrushtack.protocol.DaemonRecord
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest
import org.bulrushtack.protocol.TopicPosition

/**
 * Tells the daemon that places work, and the one after it, what this daemon runs, and takes over what they know.
 * Answers the same questions of others.
 */
internal class PeerSync(
    private val daemons: DaemonTable,
    private val replica: StoreReplica,
    private val broker: PlacementBroker,
    private val connections: PeerConnections,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    private val probes = ProbeSchedule()
    private val inFlight = HashSet<String>()
    private val views = PeerViews(daemons)

    /** Speaks with the daemons that it is due to speak with. */
    fun tick() {
        val nowMillis = thread.nowMillis()
        daemons.expire(nowMillis).forEach { silent ->
            broker.removeIngressDaemon(silent.name)
            log.info("A daemon is silent.", LogField("daemon", silent.name), LogField("address", silent.peerAddress))
        }
        val first = daemons.ranked(nowMillis).take(ANSWERING).map { it.peerAddress }
        val unheard = daemons.unseenAddresses(nowMillis).filter { probes.isDue(it, nowMillis) }.take(PROBES_AT_ONCE)
        val unranked = daemons.live(nowMillis).filter { it.rank == null }.take(PROBES_AT_ONCE)
        val due = first + unranked.map { it.peerAddress } + unheard
        (due - daemons.self.peerAddress).toSet().filter { it !in inFlight }.forEach { ask(it, nowMillis) }
    }

    /** The answer to another daemon's account of itself. */
    fun answer(request: SyncRequest): SyncReply {
        val nowMillis = thread.nowMillis()
        hear(nowMillis = nowMillis, record = request.sender, direct = true)
        request.daemonsList.forEach { hear(nowMillis = nowMillis, record = it, direct = false) }
        val allocations = request.residentsList.map { PlacementMessages.fromWire(it, request.sender.name, nowMillis) }
        broker.reconcile(ingressDaemon = request.sender.name, allocations = allocations)
        val reply = SyncReply.newBuilder().setSender(DaemonMessages.toWire(daemons.self, ageMillis = 0))
        views.addTo(reply, request, nowMillis)
        request.positionsList.forEach { position -> addBatch(reply, position) }
        return reply.build()
    }

    private fun addBatch(reply: SyncReply.Builder, position: TopicPosition) {
        val topic = StoreTopic.entries.firstOrNull { it.name == position.topic } ?: return
        val ageMillis = replica.ageMillis(topic)
        if (ageMillis == Long.MAX_VALUE) return
        val news = replica.since(topic, position.endOffset)
        val batch = news ?: EMPTY_BATCH.copy(endOffset = minOf(position.endOffset, replica.endOffset(topic)))
        if (batch.endOffset >= position.endOffset) {
            reply.addBatches(CoordinationMessages.toWire(topic, batch, ageMillis))
        }
    }

    private fun ask(address: String, nowMillis: Long) {
        inFlight.add(address)
        val request = request(address, nowMillis)
        connections.unary(address, CoordinationMethods.SYNC, request, TIMEOUT_MILLIS).whenCompleteAsync(
            { reply, failure ->
                inFlight.remove(address)
                if (failure == null) take(address, reply, nowMillis) else failed(address, failure)
            },
            thread.loop,
        )
    }

    private fun request(address: String, nowMillis: Long): SyncRequest {
        val request = SyncRequest.newBuilder().setSender(DaemonMessages.toWire(daemons.self, ageMillis = 0))
        views.addTo(request, address)
        StoreTopic.entries.forEach { topic ->
            request.addPositions(
                TopicPosition.newBuilder().setTopic(topic.name).setEndOffset(replica.endOffset(topic)),
            )
        }
        if (daemons.ranked(nowMillis).getOrNull(1)?.name == daemons.self.name) {
            daemons.directContacts(nowMillis).forEach { sighting ->
                request.addDaemons(DaemonMessages.toWire(sighting.daemon, nowMillis - sighting.lastSeenAtMillis))
            }
        }
        broker.activePlacements.allocations.forEach { request.addResidents(PlacementMessages.toWire(it, nowMillis)) }
        return request.build()
    }

    private fun take(address: String, reply: SyncReply, askedAtMillis: Long) {
        val nowMillis = thread.nowMillis()
        hear(nowMillis = nowMillis, record = reply.sender, direct = true)
        probes.answered(reply.sender.peerAddress)
        val vouched = views.take(address, reply, askedAtMillis)
        val news = vouched.filterNot { it.name == daemons.self.name || daemons.isLive(it.name, askedAtMillis) }
        vouched.forEach { daemons.observe(daemon = it, atMillis = askedAtMillis, direct = false) }
        if (news.isNotEmpty()) {
            log.info(
                "Daemons are live, as a peer says.",
                LogField("peer", reply.sender.name),
                LogField("count", news.size),
                LogField("daemons", news.take(NAMED_AT_ONCE).joinToString(",") { it.name }),
            )
        }
        reply.batchesList.forEach { batch ->
            val topic = StoreTopic.entries.firstOrNull { it.name == batch.topic }
            if (topic != null) {
                replica.merge(
                    topic = topic,
                    batch = CoordinationMessages.fromWire(batch),
                    ageMillis = batch.ageMillis + nowMillis - askedAtMillis,
                    source = reply.sender.name,
                )
            }
        }
    }

    private fun hear(nowMillis: Long, record: DaemonRecord, direct: Boolean) =
        hear(DaemonMessages.fromWire(record), atMillis = nowMillis - record.ageMillis, direct = direct)

    private fun hear(daemon: DaemonInfo, atMillis: Long, direct: Boolean) {
        val isNew = daemon.name != daemons.self.name && !daemons.isLive(daemon.name, atMillis)
        daemons.observe(daemon = daemon, atMillis = atMillis, direct = direct)
        if (isNew) {
            log.info(
                "A daemon is live.",
                LogField("daemon", daemon.name),
                LogField("address", daemon.peerAddress),
                LogField("rank", daemon.rank),
                LogField("direct", direct),
            )
        }
    }

    private fun failed(address: String, failure: Throwable) {
        val nowMillis = thread.nowMillis()
        if (probes.failed(address, nowMillis)) {
            log.info(
                "A daemon did not answer.",
                LogField("address", address),
                LogField("reason", failure.message),
            )
        }
        daemons.markUnresponsive(peerAddress = address, nowMillis = nowMillis)
    }
}

/** The most daemons that one log line names. */
private const val NAMED_AT_ONCE = 8

/** The daemon that answers for all and the one that follows it. */
private const val ANSWERING = 2

/** Few enough that many daemons which start together don't all speak with all. */
private const val PROBES_AT_ONCE = 3

/** Some ten times a round trip between data centres; a daemon that is slower should not place work. */
private const val TIMEOUT_MILLIS = 350L
private val EMPTY_BATCH = RecordBatch(records = emptyList(), complete = false, endOffset = 0)
