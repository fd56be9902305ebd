package org.bulrushtack.bench.control

import org.bulrushtack.core.membership.HeartbeatMessage
import org.bulrushtack.daemon.peer.PeerMessages

/** Counts heartbeats, their responses and their bytes on the wire. */
internal class TrafficCount {
    /** Messages since the last reset. */
    var messages: Long = 0
        private set

    /** Bytes since the last reset, including an allowance for gRPC framing. */
    var bytes: Long = 0
        private set

    /** Adds [message] to the counters. */
    fun count(message: HeartbeatMessage) {
        messages++
        bytes += PeerMessages.toWire(message).serializedSize + GRPC_FRAME_BYTES
    }

    /** Sets both counters to zero. */
    fun reset() {
        messages = 0
        bytes = 0
    }
}

private const val GRPC_FRAME_BYTES = 60
