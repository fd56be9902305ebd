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

/** Several daemons' cores, a log and backend servers, joined by a network in memory. */
internal class FakeSystem(
    seed: Long,
    daemonCount: Int,
    engines: Int = 2,
    services: Int = 1,
    private val answerMillis: LongRange = 200L..1_500L,
) {
    val random = Random(seed)
    val clock = FakeClock()
    val log = FakeLog(clock)
    val daemons = (1..daemonCount).associate { "vm-$it" to newDaemon("vm-$it", life = 0) }.toMutableMap()
    val servers = ((1..engines).map { "engine-$it" } + (1..services).map { "booking-$it" })
        .associateWith { FakeServer(it, clock, capacityTokens = 100_000, coldConcurrency = COLD_CONCURRENCY) }
    val outcomes = LinkedHashMap<String, Outcome>()
    val edits = LinkedHashMap<String, Action>()
    val vms = (daemons.keys.map { vm(it, VmKind.ENTRY) } + servers.keys.map { server(it) })
        .associateBy { it.name }.toMutableMap()
    private val owners = HashMap<WorkId, String>()
    private val takers = HashMap<String, FakeDaemon>()
    private val works = HashMap<WorkId, Work>()
    private val calls = HashMap<String, ServiceCall>()
    private var lives = 0
    private var requests = 0

    init {
        pulse()
    }

    fun advance(millis: Long) = clock.advance(millis)

    fun live(): List<FakeDaemon> = daemons.values.filter { it.alive }

    fun kill(name: String) {
        val dead = daemons.getValue(name)
        dead.alive = false
        owners.filterValues { it == name }.keys.toList().forEach { id ->
            owners.remove(id)
            later { takerOf(id)?.receive(failure(id, Problem(ErrorKind.BACKEND_LOST))) }
        }
    }

    fun restart(name: String) {
        if (daemons.getValue(name).alive) kill(name)
        lives++
        daemons[name] = newDaemon(name, lives)
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

    private fun pulse() {
        daemons.values.forEach { daemon ->
            daemon.receive(Event.Tick)
            if (clock.nowMillis % VM_LIST_MILLIS == 0L) daemon.receive(Event.VmListRead(vms.values.toList()))
            if (clock.nowMillis % LOG_MILLIS == 0L) readLog(daemon)
        }
        clock.schedule(TICK_MILLIS) { pulse() }
    }

    private fun readLog(daemon: FakeDaemon) {
        val askedAt = clock.nowMillis
        if (log.outage || daemon.cutFromLog || daemon.paused) return
        later {
            val entries = log.after(daemon.blackboard.log.projection.appliedOffset)
            val tail = log.tailOffset
            later { daemon.receive(Event.RecordsRead(entries, tail, askedAt)) }
        }
    }

    private fun act(daemon: FakeDaemon, action: Action) {
        when (action) {
            is Action.PlatformAction -> append(daemon, action as Action.AppendRecords)
            is Action.PeerAction -> peer(daemon, action)
            is Action.OwnerAction -> own(daemon, action)
            is Action.CompletionAction -> completion(daemon, action)
            is Action.CallAction -> call(daemon, action)
            is Action.EditApplied -> edits[action.editId] = action
            is Action.EditFailed -> edits[action.editId] = action
        }
    }

    private fun append(daemon: FakeDaemon, action: Action.AppendRecords) = later {
        val ids = action.records.map { it.id }
        val cut = daemon.cutFromLog
        val result = if (cut) AppendResult.UNKNOWN else log.append(action.records)
        later { daemon.receive(Event.AppendAnswered(ids, result)) }
    }

    private fun peer(daemon: FakeDaemon, action: Action.PeerAction) = when (action) {
        is Action.SendHeartbeat -> heartbeat(daemon, action)
        is Action.ReadFromPeer -> readFromPeer(daemon, action)
    }

    private fun heartbeat(daemon: FakeDaemon, action: Action.SendHeartbeat) {
        val askedAt = clock.nowMillis
        val copies = if (random.nextInt(10) == 0) 2 else 1
        repeat(copies) {
            later {
                val peer = reachable(daemon, action.peer) ?: return@later
                peer.receive(Event.HeartbeatReceived(action.message, requestSentAtMillis = null))
                if (!peer.paused) answer(daemon, peer.blackboard.heartbeat(clock.nowMillis), askedAt)
            }
        }
    }

    private fun answer(daemon: FakeDaemon, message: HeartbeatMessage, askedAt: Long) =
        later { daemon.receive(Event.HeartbeatReceived(message, requestSentAtMillis = askedAt)) }

    private fun readFromPeer(daemon: FakeDaemon, action: Action.ReadFromPeer) = later {
        val peer = reachable(daemon, action.peer)?.takeUnless { it.paused } ?: return@later
        val projection = peer.blackboard.log.projection
        val snapshot = Snapshot("state/${projection.appliedOffset}", projection.appliedOffset, projection.state())
        val entry = LogEntry(projection.appliedOffset, 0, snapshot)
        later {
            daemon.receive(Event.RecordsRead(listOf(entry), tailOffset = null, requestedAtMillis = clock.nowMillis))
        }
    }

    private fun own(daemon: FakeDaemon, action: Action.OwnerAction) = when (action) {
        is Action.PollServer -> poll(daemon, servers.getValue(action.server))
        is Action.StartWork -> start(daemon, action)
        is Action.RefuseWork -> {
            owners.remove(action.id)
            later { takerOf(action.id)?.receive(failure(action.id, action.problem)) }
        }
        is Action.CancelOnServer -> later { servers.getValue(action.server).running.remove(action.serverRequestId) }
    }

    private fun poll(daemon: FakeDaemon, server: FakeServer) {
        val askedAt = clock.nowMillis
        later {
            val list = server.list()
            val report = server.report()
            later {
                daemon.receive(Event.ServerListed(server.name, list, askedAt))
                report?.let { daemon.receive(Event.ServerReported(server.name, it)) }
            }
        }
    }

    private fun start(daemon: FakeDaemon, action: Action.StartWork) {
        val work = action.work
        val server = servers.getValue(work.server)
        later {
            val id = work.id.serverRequestId
            server.start(RunningRequest(id, daemon.name, daemon.identity.incarnation, work.reservedTokens))
            server.onLost[id] = { end(daemon, work, WorkResult(WorkResult.Kind.LOST)) }
            calls[work.id.requestId]?.let { server.countRun(it.id, it.key?.text.orEmpty()) }
            val incarnation = server.incarnation
            if (work.reservedTokens > 0) later { daemon.receive(Event.WorkAcknowledged(work.id, incarnation)) }
            clock.schedule(random.nextLong(answerMillis.first, answerMillis.last + 1)) { finish(daemon, server, work) }
        }
    }

    private fun finish(daemon: FakeDaemon, server: FakeServer, work: Work) {
        val id = work.id.serverRequestId
        if (server.onLost.remove(id) == null) return
        val lost = server.running.remove(id) == null || server.answersToLose > 0
        if (server.answersToLose > 0) server.answersToLose--
        val ended = WorkResult(WorkResult.Kind.FINISHED, server.incarnation)
        end(daemon, work, if (lost) WorkResult(WorkResult.Kind.LOST) else ended)
    }

    private fun end(daemon: FakeDaemon, work: Work, result: WorkResult) = later {
        daemon.receive(Event.WorkEnded(work.id, result))
        if (daemon.alive && !daemon.paused && owners.remove(work.id) != null) {
            val lost = result.kind == WorkResult.Kind.LOST
            val outcome = if (lost) failure(work.id, Problem(ErrorKind.BACKEND_LOST)) else success(work.id)
            later { takerOf(work.id)?.receive(outcome) }
        }
    }

    private fun completion(daemon: FakeDaemon, action: Action.CompletionAction) = when (action) {
        is Action.FailRequest -> conclude(action.requestId, action.problem)
        is Action.SendAttempt -> {
            val request = daemon.blackboard.requests.active.getValue(action.requestId).request
            val id = WorkId(action.requestId, action.attempt)
            val work = work(id, action.server, request.reservedTokens, request.deadlineAtMillis)
            submit(daemon, action.ownerAddress, work)
        }
    }

    private fun call(daemon: FakeDaemon, action: Action.CallAction) = when (action) {
        is Action.AnswerCall -> conclude(action.requestId, problem = null)
        is Action.FailCall -> conclude(action.requestId, action.problem)
        is Action.SendCall -> {
            val deadline = calls.getValue(action.requestId).deadlineAtMillis
            val id = WorkId(action.requestId, action.attempt)
            submit(daemon, action.ownerAddress, work(id, action.server, tokens = 0, deadlineAtMillis = deadline))
        }
    }

    private fun conclude(requestId: String, problem: Problem?) {
        outcomes[requestId] = Outcome(problem = problem, atMillis = clock.nowMillis)
    }

    private fun submit(daemon: FakeDaemon, ownerAddress: String, work: Work) = later {
        val owner = if (ownerAddress.isEmpty()) daemon else reachable(daemon, ownerAddress.substringBefore(':'))
        if (owner == null) {
            later { daemon.receive(failure(work.id, Problem(ErrorKind.NOT_DISPATCHED))) }
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

    private fun takerOf(id: WorkId): FakeDaemon? = takers[id.requestId]

    private fun reachable(from: FakeDaemon, name: String): FakeDaemon? =
        daemons[name]?.takeIf { it.alive && !it.cutFromPeers && !from.cutFromPeers }

    private fun newRequest(daemon: FakeDaemon): String = "request-${requests++}".also { takers[it] = daemon }

    private fun newDaemon(name: String, life: Int): FakeDaemon =
        FakeDaemon(MemberIdentity(name, "life-%04d".format(life), "a"), clock, Random(random.nextLong()), ::act)

    private fun vm(name: String, kind: VmKind): VmRecord =
        VmRecord(name, kind, "a", VmState.LIVE, httpAddress = "$name:http", peerAddress = "$name:peer")

    private fun server(name: String): VmRecord = when {
        name.startsWith("engine") -> vm(name, VmKind.ENGINE).copy(peerAddress = "", serves = listOf("atlas"))
        else -> vm(name, VmKind.SERVICE).copy(peerAddress = "", serves = listOf("booking"))
    }

    private fun later(action: () -> Unit) = clock.schedule(random.nextLong(1, 20), action)

    data class Outcome(
        val problem: Problem?,
        val atMillis: Long,
    )

    companion object {
        const val COLD_CONCURRENCY = 2
    }
}

private const val TICK_MILLIS = 50L
private const val LOG_MILLIS = 100L
private const val VM_LIST_MILLIS = 1_000L
