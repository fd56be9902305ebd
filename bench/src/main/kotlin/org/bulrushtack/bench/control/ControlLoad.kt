package org.bulrushtack.bench.control

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.ControlLoop
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.dispatch.RunningList
import org.bulrushtack.core.log.AppendResult
import org.bulrushtack.core.log.LogEntry
import org.bulrushtack.core.log.LogRecord
import org.bulrushtack.core.membership.MemberIdentity
import kotlin.random.Random

/** Drives one daemon's control loop with the events that it receives each second in a system of [size]. */
internal class ControlLoad(
    private val size: SystemSize,
) {
    private val random = Random(1)
    private val blackboard = Blackboard(MemberIdentity(name = "vm-0", incarnation = "life", dataCentre = "dc-0"))
    private val loop = ControlLoop(blackboard = blackboard, random = random)
    private val platform = SimulatedPlatform(size)
    private val peers = SimulatedPeers(size = size, platform = platform, random = random)

    /** The heartbeats sent and received. */
    val traffic: TrafficCount = TrafficCount()

    private var nowMillis = 0L

    init {
        handle(Event.VmListRead(platform.vms))
        readLog()
    }

    /** Runs [seconds] of simulated time. */
    fun run(seconds: Int) {
        traffic.reset()
        repeat(seconds) { runSecond() }
    }

    /** The number of backend servers that the daemon owns. */
    fun ownedServers(): Int = blackboard.ledgers.openLedgers().size

    private fun runSecond() {
        repeat(TICKS_PER_SECOND) {
            handle(Event.Tick)
            nowMillis += TICK_MILLIS
        }
        repeat(minOf(HEARTBEATS_RECEIVED_PER_SECOND, size.daemons - 1)) {
            traffic.count(blackboard.heartbeat(nowMillis))
            receiveHeartbeat(requestSentAtMillis = null)
        }
        readLog()
        handle(Event.VmListRead(platform.vms))
    }

    private fun handle(event: Event) = loop.handle(event = event, nowMillis = nowMillis).forEach { perform(it) }

    private fun perform(action: Action) {
        when (action) {
            is Action.SendHeartbeat -> {
                traffic.count(action.message)
                receiveHeartbeat(requestSentAtMillis = nowMillis)
            }
            is Action.AppendRecords -> append(action.records)
            is Action.PollServer -> pollServer(action.server)
            else -> Unit
        }
    }

    private fun receiveHeartbeat(requestSentAtMillis: Long?) {
        if (size.daemons < 2) return
        val message = peers.heartbeat(nowMillis)
        traffic.count(message)
        handle(Event.HeartbeatReceived(message = message, requestSentAtMillis = requestSentAtMillis))
    }

    private fun append(records: List<LogRecord>) {
        platform.append(records)
        handle(Event.AppendAnswered(ids = records.map { it.id }, result = AppendResult.ACCEPTED))
    }

    private fun pollServer(server: String) {
        val list = RunningList(incarnation = "life", capacityTokens = 500_000, leaving = false, requests = emptyList())
        handle(Event.ServerListed(server = server, list = list, requestedAtMillis = nowMillis))
    }

    private fun readLog() {
        val entries: List<LogEntry> = platform.entriesAfter(blackboard.log.projection.appliedOffset)
        handle(Event.RecordsRead(entries = entries, tailOffset = platform.tailOffset, requestedAtMillis = nowMillis))
    }
}

private const val TICKS_PER_SECOND = 20
private const val TICK_MILLIS = 50L
private const val HEARTBEATS_RECEIVED_PER_SECOND = 6
