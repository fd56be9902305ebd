package org.bulrushtack.daemon.peer

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.protocol.PeerMethods
import org.bulrushtack.protocol.ReadRecordsRequest

/** Sends heartbeats and asks peers for log records. */
class PeerClient(
    private val connections: PeerConnections,
    private val control: ControlThread,
    private val clock: MonotonicClock,
) {
    /** Sends a heartbeat; a lost one is not repeated. */
    fun sendHeartbeat(action: Action.SendHeartbeat) {
        val askedAtMillis = clock.nowMillis()
        connections.unary(
            address = action.address,
            method = PeerMethods.EXCHANGE,
            request = PeerMessages.toWire(action.message),
            timeoutMillis = TIMEOUT_MILLIS,
        ).thenAccept { answer ->
            control.post(
                Event.HeartbeatReceived(
                    message = PeerMessages.fromWire(answer),
                    requestSentAtMillis = askedAtMillis,
                ),
            )
        }
    }

    /** Asks a peer for what it holds of the log. */
    fun readRecords(action: Action.ReadFromPeer) {
        val askedAtMillis = clock.nowMillis()
        val request = ReadRecordsRequest.newBuilder()
            .setFromOffset(action.afterOffset + 1)
            .setLimit(READ_LIMIT)
            .build()
        connections.unary(
            address = action.address,
            method = PeerMethods.READ_RECORDS,
            request = request,
            timeoutMillis = TIMEOUT_MILLIS,
        ).thenAccept { answer ->
            control.post(
                Event.RecordsRead(
                    entries = answer.entriesList.map { PeerMessages.fromWire(it) },
                    tailOffset = null,
                    requestedAtMillis = askedAtMillis,
                ),
            )
        }
    }
}

private const val TIMEOUT_MILLIS = 2_000L
private const val READ_LIMIT = 500
