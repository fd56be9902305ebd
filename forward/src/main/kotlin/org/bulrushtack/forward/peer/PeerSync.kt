package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.isSubstituteReader
import org.bulrushtack.core.daemon.ranked
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.duty.TrueTimeClock
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.placement.PlacementBroker
import org.bulrushtack.forward.store.StoreReplica
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest

/**
 * Syncs with peers: sends this daemon's state to the leader, the next daemon in rank and the one that reads the store,
 * applies their replies, and handles the sync requests of others. While the replica is stale, it syncs with other
 * daemons as well.
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
    private val observer = PeerObserver(daemons = daemons, probes = probes, thread = thread, log = log)
    private val again = HashSet<String>()
    private val silence = SyncSilence(
        thread = thread,
        onSilence = { thread.nowMillis().let { startSyncs(targets.alternatives(it), it) } },
    )
    private var pulling: String? = null

    /** Called after news from a daemon that can't read the store, or can read it again. */
    var onReadability: () -> Unit by observer::onReadability

    /** Called with the address of a daemon with which a sync failed, and with the failure. */
    var onFailure: (address: String, failure: Throwable) -> Unit by observer::onFailure

    /** The log of records that this daemon lacks, or null if there is none. */
    var lagLog: LagLog? = null

    /** Called when no other daemon has responded to the last syncs, neither the usual ones nor others. */
    var onUnheard: () -> Unit by silence::onLastingSilence

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
        startSyncs(targets.due(nowMillis), nowMillis)
        silence.watch()
    }

    private fun startSyncs(addresses: Set<String>, nowMillis: Long) =
        addresses.filter { it !in inFlight }.forEach { startSync(it, nowMillis) }

    /** Tells the daemons that might read the store next whether this one can read it. */
    fun tellReadability() = syncNow(targets.readers(thread.nowMillis()))

    /** Passes on what this daemon has read in place of another one; [hasRecords] tells whether there is any news. */
    fun passOn(hasRecords: Boolean) = if (hasRecords) syncNow(targets.receivers(thread.nowMillis())) else tick()

    /** A sync that is under way may have been sent before the news; it is followed by another one. */
    private fun syncNow(peers: List<DaemonInfo>) = peers.map { it.peerAddress }.forEach {
        if (it in inFlight) again.add(it) else startSync(it, thread.nowMillis())
    }

    /** Applies the state that a peer sends and returns the reply. */
    fun handle(request: SyncRequest): SyncReply {
        val nowMillis = thread.nowMillis()
        observer.observe(nowMillis = nowMillis, record = request.sender, direct = true)
        trueTime?.onRequest(request.sender.name, request.timeOfDayMillis)
        request.daemonsList.forEach { observer.observe(nowMillis = nowMillis, record = it, direct = false) }
        val allocations = request.residentsList.map { PlacementMessages.fromWire(it, request.sender.name, nowMillis) }
        broker.reconcile(ingressDaemon = request.sender.name, allocations = allocations)
        val reply = SyncReply.newBuilder().setSender(DaemonMessages.toWire(daemons.self, ageMillis = 0))
        views.addTo(reply, request, nowMillis)
        trueTime?.announcedMillis?.let { reply.setTrueTimeMillis(it) }
        broker.pressures.current(nowMillis).forEach { reply.addPressures(PressureMessages.toWire(it)) }
        positions.addBatches(reply, request)
        lagLog?.record(request, nowMillis)
        plainLoads?.handle(request, reply)
        val isFirst = daemons.ranked(nowMillis).firstOrNull()?.name == daemons.self.name
        val isSubstitute = daemons.isSubstituteReader(request.sender.name, nowMillis)
        if (positions.isBehind(request, isFresher = isFirst || isSubstitute)) {
            // Outside this call: a call that is made within it is cancelled as soon as the reply is sent.
            thread.execute { pull(request.sender.peerAddress, thread.nowMillis()) }
        }
        return reply.build()
    }

    /** Gets the records of a daemon that has fresher ones, from one daemon at a time. */
    private fun pull(address: String, nowMillis: Long) {
        // What is under way may have been sent before the daemon had these records.
        if (address in inFlight) again.add(address)
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
            val isAgain = again.remove(address)
            when (failure) {
                null -> reply?.let { onReply(address, it, nowMillis) }
                is SilentConnectionException -> {
                    // The daemon isn't to blame; the next sync uses a new connection.
                    observer.recordReplaced(address, failure)
                    startSync(address, thread.nowMillis())
                }
                else -> observer.recordFailure(address, failure)
            }
            // After a failure as well: only further news leads to more than this one call.
            if (isAgain && address !in inFlight) startSync(address, thread.nowMillis())
        }
    }

    private fun request(address: String, nowMillis: Long): SyncRequest {
        val request = SyncRequest.newBuilder().setSender(DaemonMessages.toWire(daemons.self, ageMillis = 0))
        views.addTo(request, address)
        trueTime?.let { request.setTimeOfDayMillis(it.timeOfDayMillis) }
        positions.addTo(request)
        plainLoads?.addTo(request)
        val isSecond = daemons.ranked(nowMillis).getOrNull(1)?.name == daemons.self.name
        // A daemon that can't read the store, or reads it in place of others, also tells which others can't.
        val tellsReadability = daemons.self.storeUnreadable || daemons.isSubstituteReader(daemons.self.name, nowMillis)
        val contacts = if (isSecond || tellsReadability) daemons.directContacts(nowMillis) else emptyList()
        contacts.filter { isSecond || it.daemon.storeUnreadable }.forEach { contact ->
            request.addDaemons(DaemonMessages.toWire(contact.daemon, nowMillis - contact.lastSeenAtMillis))
        }
        broker.activePlacements.allocations.forEach { request.addResidents(PlacementMessages.toWire(it, nowMillis)) }
        return request.build()
    }

    private fun onReply(address: String, reply: SyncReply, sentAtMillis: Long) {
        val nowMillis = thread.nowMillis()
        observer.observe(nowMillis = nowMillis, record = reply.sender, direct = true)
        probes.recordSuccess(reply.sender.peerAddress)
        silence.recordReply()
        trueTime?.onReply(reply.sender.name, reply.trueTimeMillis, sentAtMillis)
        val isLeader = targets.leaders(nowMillis).any { it.peerAddress == address }
        if (isLeader) plainLoads?.onReply(reply)
        val reported = views.applyReply(address, reply, sentAtMillis)
        observer.observeReported(reported, reporter = reply.sender.name, atMillis = sentAtMillis)
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
}

/** About ten round trips between data centres; a slower daemon should not place work. */
private const val SYNC_TIMEOUT_MILLIS = 350L
