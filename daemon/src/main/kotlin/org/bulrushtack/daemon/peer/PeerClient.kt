package org.bulrushtack.daemon.peer

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.protocol.PeerMethods
import org.bulrushtack.protocol.ReadRecordsRequest

/** Sends heartbeats to peers and reads log records from them. */
class PeerClient(
    private val connections: PeerConnections,
    private val control: ControlThread,
    private val clock: MonotonicClock,
) {
    /** Sends a heartbeat; a lost one is not sent again. */
    fun sendHeartbeat(action: Action.SendHeartbeat) {
        val requestedAtMillis = clock.nowMillis()
        connections.unary(
            address = action.address,
            method = PeerMethods.EXCHANGE,
            request = PeerMessages.toWire(action.message),
            timeoutMillis = REQUEST_TIMEOUT_MILLIS,
        ).thenAccept { reply ->
            control.post(
                Event.HeartbeatReceived(
                    message = PeerMessages.fromWire(reply),
                    requestSentAtMillis = requestedAtMillis,
                ),
            )
        }
    }

    /** Reads the log records that a peer holds. */
    fun readRecords(action: Action.ReadFromPeer) {
        val requestedAtMillis = clock.nowMillis()
        val request = ReadRecordsRequest.newBuilder()
            .setFromOffset(action.afterOffset + 1)
            .setLimit(READ_LIMIT_RECORDS)
            .build()
        connections.unary(
            address = action.address,
            method = PeerMethods.READ_RECORDS,
            request = request,
            timeoutMillis = REQUEST_TIMEOUT_MILLIS,
        ).thenAccept { reply ->
            control.post(
                Event.RecordsRead(
                    entries = reply.entriesList.map { PeerMessages.fromWire(it) },
                    tailOffset = null,
                    requestedAtMillis = requestedAtMillis,
                ),
            )
        }
    }
}

private const val REQUEST_TIMEOUT_MILLIS = 2_000L
private const val READ_LIMIT_RECORDS = 500
