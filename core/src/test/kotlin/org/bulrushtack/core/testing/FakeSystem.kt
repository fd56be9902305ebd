package org.bulrushtack.core.testing

import org.bulrushtack.core.call.IdempotencyKey
import org.bulrushtack.core.call.ServiceCall
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.dispatch.RunningList.RunningRequest
import org.bulrushtack.core.dispatch.Work
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.dispatch.WorkResult
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RunState
import org.bulrushtack.core.log.AppendResult
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.LogEntry
import org.bulrushtack.core.log.SettingsEdit
import org.bulrushtack.core.log.Snapshot
import org.bulrushtack.core.membership.HeartbeatMessage
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.core.membership.VmKind
import org.bulrushtack.core.membership.VmRecord
import org.bulrushtack.core.membership.VmState
import org.bulrushtack.core.request.CompletionRequest
import org.bulrushtack.core.settings.SettingAddress
import org.bulrushtack.core.settings.SettingChange
import org.bulrushtack.core.settings.SettingsPath
import kotlin.random.Random

/** The cores of several daemons, a log and backend servers, connected by an in-memory network with random delays. */
internal class FakeSystem(
    seed: Long,
    daemonCount: Int,
    engines: Int = 2,
    services: Int = 1,
    private val executionMillis: LongRange = 200L..1_500L,
) {
    val random = Random(seed)
    val clock = FakeClock()
    val log = FakeLog(clock)
    val daemons = (1..daemonCount).associate { "vm-$it" to newDaemon("vm-$it", restart = 0) }.toMutableMap()
    val servers = ((1..engines).map { "engine-$it" } + (1..services).map { "booking-$it" })
        .associateWith { FakeServer(it, clock, capacityTokens = 100_000, coldConcurrency = COLD_CONCURRENCY) }
    val outcomes = LinkedHashMap<String, Outcome>()
    val edits = LinkedHashMap<String, Action>()
    val vms = (daemons.keys.map { vm(it, VmKind.ENTRY) } + servers.keys.map { server(it) })
        .associateBy { it.name }.toMutableMap()
    private val owners = HashMap<WorkId, String>()
    private val ingressDaemons = HashMap<String, FakeDaemon>()
    private val works = HashMap<WorkId, Work>()
    private val calls = HashMap<String, ServiceCall>()
    private var restarts = 0
    private var requests = 0

    init {
        tick()
    }

    fun advance(millis: Long) = clock.advance(millis)

    fun live(): List<FakeDaemon> = daemons.values.filter { it.alive }

    fun kill(name: String) {
        val dead = daemons.getValue(name)
        dead.alive = false
        owners.filterValues { it == name }.keys.toList().forEach { id ->
            owners.remove(id)
            deliver { ingressDaemonOf(id)?.receive(failure(id, Problem(ErrorKind.BACKEND_LOST))) }
        }
    }

    fun restart(name: String) {
        if (daemons.getValue(name).alive) kill(name)
        restarts++
        daemons[name] = newDaemon(name, restarts)
    }

    fun complete(daemon: FakeDaemon, promptTokens: Long = 1_000, deadlineMillis: Long = 30_000): String {
        val id = newRequest(daemon)
        val request = CompletionRequest(
            id = id,
            workspace = "dock",
            model = "atlas",
            promptTokens = promptTokens,
            maximumTokens = 100,
            receivedAtMillis = clock.nowMillis,
            deadlineAtMillis = clock.nowMillis + deadlineMillis,
        )
        daemon.receive(Event.CompletionRequested(request))
        return id
    }

    fun book(daemon: FakeDaemon, key: String, deadlineMillis: Long = 20_000): String {
        val id = newRequest(daemon)
        val call = ServiceCall(
            id = id,
            workspace = "dock",
            service = "booking",
            operation = "reserve",
            key = IdempotencyKey(text = key, createdAtMillis = 0),
            keyAgeMillis = 0,
            fingerprint = "party of four",
            receivedAtMillis = clock.nowMillis,
            deadlineAtMillis = clock.nowMillis + deadlineMillis,
        )
        calls[id] = call
        daemon.receive(Event.CallRequested(call))
        return id
    }

    fun edit(daemon: FakeDaemon, path: String, key: String, value: String?, version: Long): String {
        val address = SettingAddress(SettingsPath.parse(path).getOrNull()!!, key)
        val changes = listOf(SettingChange(address, value, version))
        val edit = SettingsEdit("edit/${requests++}", "operator", changes)
        daemon.receive(Event.EditRequested(edit))
        return edit.id
    }

    private fun tick() {
        daemons.values.forEach { daemon ->
            daemon.receive(Event.Tick)
            if (clock.nowMillis % VM_LIST_INTERVAL_MILLIS == 0L) daemon.receive(Event.VmListRead(vms.values.toList()))
            if (clock.nowMillis % LOG_READ_INTERVAL_MILLIS == 0L) readLog(daemon)
        }
        clock.schedule(TICK_INTERVAL_MILLIS) { tick() }
    }

    private fun readLog(daemon: FakeDaemon) {
        val requestedAt = clock.nowMillis
        if (log.outage || daemon.disconnectedFromLog || daemon.paused) return
        deliver {
            val entries = log.after(daemon.blackboard.log.projection.appliedOffset)
            val tail = log.tailOffset
            deliver { daemon.receive(Event.RecordsRead(entries, tail, requestedAt)) }
        }
    }

    private fun execute(daemon: FakeDaemon, action: Action) {
        when (action) {
            is Action.PlatformAction -> append(daemon, action as Action.AppendRecords)
            is Action.PeerAction -> executePeerAction(daemon, action)
            is Action.OwnerAction -> executeOwnerAction(daemon, action)
            is Action.CompletionAction -> executeCompletionAction(daemon, action)
            is Action.CallAction -> executeCallAction(daemon, action)
            is Action.EditApplied -> edits[action.editId] = action
            is Action.EditFailed -> edits[action.editId] = action
        }
    }

    private fun append(daemon: FakeDaemon, action: Action.AppendRecords) = deliver {
        val ids = action.records.map { it.id }
        val disconnected = daemon.disconnectedFromLog
        val result = if (disconnected) AppendResult.UNKNOWN else log.append(action.records)
        deliver { daemon.receive(Event.AppendAnswered(ids, result)) }
    }

    private fun executePeerAction(daemon: FakeDaemon, action: Action.PeerAction) = when (action) {
        is Action.SendHeartbeat -> heartbeat(daemon, action)
        is Action.ReadFromPeer -> readFromPeer(daemon, action)
    }

    private fun heartbeat(daemon: FakeDaemon, action: Action.SendHeartbeat) {
        val requestedAt = clock.nowMillis
        val copies = if (random.nextInt(10) == 0) 2 else 1
        repeat(copies) {
            deliver {
                val peer = reachable(daemon, action.peer) ?: return@deliver
                peer.receive(Event.HeartbeatReceived(action.message, requestSentAtMillis = null))
                if (!peer.paused) reply(daemon, peer.blackboard.heartbeat(clock.nowMillis), requestedAt)
            }
        }
    }

    private fun reply(daemon: FakeDaemon, message: HeartbeatMessage, requestedAt: Long) =
        deliver { daemon.receive(Event.HeartbeatReceived(message, requestSentAtMillis = requestedAt)) }

    private fun readFromPeer(daemon: FakeDaemon, action: Action.ReadFromPeer) = deliver {
        val peer = reachable(daemon, action.peer)?.takeUnless { it.paused } ?: return@deliver
        val projection = peer.blackboard.log.projection
        val snapshot = Snapshot("state/${projection.appliedOffset}", projection.appliedOffset, projection.state())
        val entry = LogEntry(projection.appliedOffset, 0, snapshot)
        deliver {
            daemon.receive(Event.RecordsRead(listOf(entry), tailOffset = null, requestedAtMillis = clock.nowMillis))
        }
    }

    private fun executeOwnerAction(daemon: FakeDaemon, action: Action.OwnerAction) = when (action) {
        is Action.PollServer -> poll(daemon, servers.getValue(action.server))
        is Action.StartWork -> start(daemon, action)
        is Action.RefuseWork -> {
            owners.remove(action.id)
            deliver { ingressDaemonOf(action.id)?.receive(failure(action.id, action.problem)) }
        }
        is Action.CancelOnServer -> deliver { servers.getValue(action.server).running.remove(action.serverRequestId) }
    }

    private fun poll(daemon: FakeDaemon, server: FakeServer) {
        val requestedAt = clock.nowMillis
        deliver {
            val list = server.list()
            val report = server.report()
            deliver {
                daemon.receive(Event.ServerListed(server.name, list, requestedAt))
                report?.let { daemon.receive(Event.ServerReported(server.name, it)) }
            }
        }
    }

    private fun start(daemon: FakeDaemon, action: Action.StartWork) {
        val work = action.work
        val server = servers.getValue(work.server)
        deliver {
            val id = work.id.serverRequestId
            server.start(RunningRequest(id, daemon.name, daemon.identity.incarnation, work.reservedTokens))
            server.onLost[id] = { finishDispatch(daemon, work, WorkResult(WorkResult.Kind.LOST)) }
            calls[work.id.requestId]?.let { server.countRun(it.id, it.key?.text.orEmpty()) }
            val incarnation = server.incarnation
            if (work.reservedTokens > 0) deliver { daemon.receive(Event.WorkAcknowledged(work.id, incarnation)) }
            val delayMillis = random.nextLong(executionMillis.first, executionMillis.last + 1)
            clock.schedule(delayMillis) { respond(daemon, server, work) }
        }
    }

    private fun respond(daemon: FakeDaemon, server: FakeServer, work: Work) {
        val id = work.id.serverRequestId
        if (server.onLost.remove(id) == null) return
        val lost = server.running.remove(id) == null || server.responsesToLose > 0
        if (server.responsesToLose > 0) server.responsesToLose--
        val finished = WorkResult(WorkResult.Kind.FINISHED, server.incarnation)
        finishDispatch(daemon, work, if (lost) WorkResult(WorkResult.Kind.LOST) else finished)
    }

    private fun finishDispatch(daemon: FakeDaemon, work: Work, result: WorkResult) = deliver {
        daemon.receive(Event.WorkEnded(work.id, result))
        if (daemon.alive && !daemon.paused && owners.remove(work.id) != null) {
            val lost = result.kind == WorkResult.Kind.LOST
            val outcome = if (lost) failure(work.id, Problem(ErrorKind.BACKEND_LOST)) else success(work.id)
            deliver { ingressDaemonOf(work.id)?.receive(outcome) }
        }
    }

    private fun executeCompletionAction(daemon: FakeDaemon, action: Action.CompletionAction) = when (action) {
        is Action.FailRequest -> recordOutcome(action.requestId, action.problem)
        is Action.SendAttempt -> {
            val request = daemon.blackboard.requests.active.getValue(action.requestId).request
            val id = WorkId(action.requestId, action.attempt)
            val work = work(id, action.server, request.reservedTokens, request.deadlineAtMillis)
            submit(daemon, action.ownerAddress, work)
        }
    }

    private fun executeCallAction(daemon: FakeDaemon, action: Action.CallAction) = when (action) {
        is Action.AnswerCall -> recordOutcome(action.requestId, problem = null)
        is Action.FailCall -> recordOutcome(action.requestId, action.problem)
        is Action.SendCall -> {
            val deadline = calls.getValue(action.requestId).deadlineAtMillis
            val id = WorkId(action.requestId, action.attempt)
            submit(daemon, action.ownerAddress, work(id, action.server, tokens = 0, deadlineAtMillis = deadline))
        }
    }

    private fun recordOutcome(requestId: String, problem: Problem?) {
        outcomes[requestId] = Outcome(problem = problem, atMillis = clock.nowMillis)
    }

    private fun submit(daemon: FakeDaemon, ownerAddress: String, work: Work) = deliver {
        val owner = if (ownerAddress.isEmpty()) daemon else reachable(daemon, ownerAddress.substringBefore(':'))
        if (owner == null) {
            deliver { daemon.receive(failure(work.id, Problem(ErrorKind.NOT_DISPATCHED))) }
        } else {
            owners[work.id] = owner.name
            works[work.id] = work
            owner.receive(Event.WorkSubmitted(work))
        }
    }

    private fun work(id: WorkId, server: String, tokens: Long, deadlineAtMillis: Long): Work =
        Work(id, server, "dock", tokens, expectedMillis = 100, receivedAtMillis = clock.nowMillis, deadlineAtMillis)

    private fun failure(id: WorkId, problem: Problem): Event = when (id.requestId) {
        in calls -> Event.CallAttemptFailed(id.requestId, problem)
        else -> Event.AttemptFailed(
            requestId = id.requestId,
            attempt = id.attempt,
            problem = problem,
            reachedServer = problem.kind.runState != RunState.NO,
        )
    }

    private fun success(id: WorkId): Event {
        if (id.requestId in calls) return Event.CallAnswered(id.requestId, CallAnswer(201, "text/plain", ""))
        outcomes.putIfAbsent(id.requestId, Outcome(problem = null, atMillis = clock.nowMillis))
        return Event.RequestEnded(id.requestId)
    }

    private fun ingressDaemonOf(id: WorkId): FakeDaemon? = ingressDaemons[id.requestId]

    private fun reachable(from: FakeDaemon, name: String): FakeDaemon? =
        daemons[name]?.takeIf { it.alive && !it.disconnectedFromPeers && !from.disconnectedFromPeers }

    private fun newRequest(daemon: FakeDaemon): String = "request-${requests++}".also { ingressDaemons[it] = daemon }

    private fun newDaemon(name: String, restart: Int): FakeDaemon {
        val identity = MemberIdentity(name, "incarnation-%04d".format(restart), "a")
        return FakeDaemon(identity, clock, Random(random.nextLong()), ::execute)
    }

    private fun vm(name: String, kind: VmKind): VmRecord =
        VmRecord(name, kind, "a", VmState.LIVE, httpAddress = "$name:http", peerAddress = "$name:peer")

    private fun server(name: String): VmRecord = when {
        name.startsWith("engine") -> vm(name, VmKind.ENGINE).copy(peerAddress = "", serves = listOf("atlas"))
        else -> vm(name, VmKind.SERVICE).copy(peerAddress = "", serves = listOf("booking"))
    }

    /** Runs [action] after a random network delay. */
    private fun deliver(action: () -> Unit) = clock.schedule(random.nextLong(1, 20), action)

    data class Outcome(
        val problem: Problem?,
        val atMillis: Long,
    )

    companion object {
        const val COLD_CONCURRENCY = 2
    }
}

private const val TICK_INTERVAL_MILLIS = 50L
private const val LOG_READ_INTERVAL_MILLIS = 100L
private const val VM_LIST_INTERVAL_MILLIS = 1_000L
