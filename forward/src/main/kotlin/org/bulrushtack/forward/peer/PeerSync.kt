package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.duty.TrueTimeClock
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.placement.PlacementBroker
import org.bulrushtack.forward.store.StoreReplica
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.protocol.DaemonRecord
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest

/**
 * Syncs with peers: sends this daemon's state to the leader and to the next daemon in rank, applies their
 * replies, and handles the sync requests of others. While the replica is stale, it syncs with other daemons as well.
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
    private val positions = TopicPositions(replica)
    private val targets = SyncTargets(daemons = daemons, replica = replica, probes = probes)
    private var pulling: String? = null

    /** The clock to keep with the peers, or null where no duties need one. */
    var trueTime: TrueTimeClock? = null

    /** The exchange of calls in flight on plain servers, or null if there is none. */
    var plainLoads: PlainLoadSync? = null

    /** Starts the syncs that are due and removes the state of unresponsive daemons. */
    fun tick() {
        val nowMillis = thread.nowMillis()
        daemons.expire(nowMillis).forEach { expired ->
            broker.removeIngressDaemon(expired.name)
            log.info(
                "A daemon is unresponsive.",
                LogField("daemon", expired.name),
                LogField("address", expired.peerAddress),
            )
        }
        targets.due(nowMillis).filter { it !in inFlight }.forEach { startSync(it, nowMillis) }
    }

    /** Applies the state that a peer sends and returns the reply. */
    fun handle(request: SyncRequest): SyncReply {
        val nowMillis = thread.nowMillis()
        observe(nowMillis = nowMillis, record = request.sender, direct = true)
        trueTime?.onRequest(request.sender.name, request.timeOfDayMillis)
        request.daemonsList.forEach { observe(nowMillis = nowMillis, record = it, direct = false) }
        val allocations = request.residentsList.map { PlacementMessages.fromWire(it, request.sender.name, nowMillis) }
        broker.reconcile(ingressDaemon = request.sender.name, allocations = allocations)
        val reply = SyncReply.newBuilder().setSender(DaemonMessages.toWire(daemons.self, ageMillis = 0))
        views.addTo(reply, request, nowMillis)
        trueTime?.announcedMillis?.let { reply.setTrueTimeMillis(it) }
        broker.pressures.current(nowMillis).forEach { reply.addPressures(PressureMessages.toWire(it)) }
        positions.addBatches(reply, request)
        plainLoads?.handle(request, reply)
        val isFirst = daemons.ranked(nowMillis).firstOrNull()?.name == daemons.self.name
        if (positions.isBehind(request, isFirst)) {
            // Outside this call: a call that is made within it is cancelled as soon as the reply is sent.
            thread.execute { pull(request.sender.peerAddress, thread.nowMillis()) }
        }
        return reply.build()
    }

    /** Gets the records of a daemon that has fresher ones, from one daemon at a time. */
    private fun pull(address: String, nowMillis: Long) {
        if (pulling != null || address in inFlight || HostAndPort.parse(address) == null) return
        pulling = address
        startSync(address, nowMillis)
    }

    private fun startSync(address: String, nowMillis: Long) {
        inFlight.add(address)
        val request = request(address, nowMillis)
        val result = connections.sync(address, request, SYNC_TIMEOUT_MILLIS)
        thread.whenDone(result) { reply, failure ->
            inFlight.remove(address)
            if (pulling == address) pulling = null
            when (failure) {
                null -> reply?.let { onReply(address, it, nowMillis) }
                is SilentConnectionException -> syncAgain(address, failure)
                else -> onFailure(address, failure)
            }
        }
    }

    private fun request(address: String, nowMillis: Long): SyncRequest {
        val request = SyncRequest.newBuilder().setSender(DaemonMessages.toWire(daemons.self, ageMillis = 0))
        views.addTo(request, address)
        trueTime?.let { request.setTimeOfDayMillis(it.timeOfDayMillis) }
        positions.addTo(request)
        plainLoads?.addTo(request)
        if (daemons.ranked(nowMillis).getOrNull(1)?.name == daemons.self.name) {
            daemons.directContacts(nowMillis).forEach { contact ->
                request.addDaemons(DaemonMessages.toWire(contact.daemon, nowMillis - contact.lastSeenAtMillis))
            }
        }
        broker.activePlacements.allocations.forEach { request.addResidents(PlacementMessages.toWire(it, nowMillis)) }
        return request.build()
    }

    private fun onReply(address: String, reply: SyncReply, sentAtMillis: Long) {
        val nowMillis = thread.nowMillis()
        observe(nowMillis = nowMillis, record = reply.sender, direct = true)
        probes.recordSuccess(reply.sender.peerAddress)
        trueTime?.onReply(reply.sender.name, reply.trueTimeMillis, sentAtMillis)
        val isLeader = targets.leaders(nowMillis).any { it.peerAddress == address }
        if (isLeader) plainLoads?.onReply(reply)
        val reported = views.applyReply(address, reply, sentAtMillis)
        val newlyLive = reported.filterNot { it.name == daemons.self.name || daemons.isLive(it.name, sentAtMillis) }
        reported.forEach { daemons.observe(daemon = it, atMillis = sentAtMillis, direct = false) }
        if (newlyLive.isNotEmpty()) {
            log.info(
                "A peer reports daemons as live.",
                LogField("peer", reply.sender.name),
                LogField("count", newlyLive.size),
                LogField("daemons", newlyLive.take(MAXIMUM_LOGGED_NAMES).joinToString(",") { it.name }),
            )
        }
        broker.pressures.merge(
            PressureMessages.fromWire(reply.pressuresList, reply.sender.name, delayMillis = nowMillis - sentAtMillis),
            nowMillis,
        )
        reply.batchesList.forEach { batch ->
            val topic = StoreTopic.entries.firstOrNull { it.name == batch.topic }
            if (topic != null) {
                replica.merge(
                    topic = topic,
                    batch = CoordinationMessages.fromWire(batch),
                    ageMillis = batch.ageMillis + nowMillis - sentAtMillis,
                    source = reply.sender.name,
                )
            }
        }
    }

    private fun observe(nowMillis: Long, record: DaemonRecord, direct: Boolean) {
        val daemon = DaemonMessages.fromWire(record)
        if (daemon == null) {
            log.warn(
                "A daemon's account of itself can't be used.",
                LogField("daemon", record.name),
                LogField("address", record.peerAddress),
            )
        } else {
            observe(daemon, atMillis = nowMillis - maxOf(0, record.ageMillis), direct = direct)
        }
    }

    private fun observe(daemon: DaemonInfo, atMillis: Long, direct: Boolean) {
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

    /** A daemon isn't to blame for a connection that has fallen silent; the next sync uses a new one. */
    private fun syncAgain(address: String, failure: SilentConnectionException) {
        log.info(
            "A connection to a daemon was replaced.",
            LogField("address", address),
            LogField("reason", failure.message),
        )
        startSync(address, thread.nowMillis())
    }

    private fun onFailure(address: String, failure: Throwable) {
        val nowMillis = thread.nowMillis()
        if (probes.recordFailure(address, nowMillis)) {
            log.info(
                "A daemon did not respond.",
                LogField("address", address),
                LogField("reason", failure.message),
            )
        }
        daemons.markUnresponsive(peerAddress = address, nowMillis = nowMillis)
    }
}

/** The most daemons that one log line names. */
private const val MAXIMUM_LOGGED_NAMES = 8

/** About ten round trips between data centres; a slower daemon should not place work. */
private const val SYNC_TIMEOUT_MILLIS = 350L
