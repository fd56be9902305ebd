package org.bulrushtack.bench.control

import org.bulrushtack.core.membership.HeartbeatMessage
import org.bulrushtack.daemon.peer.PeerMessages

/** Counts heartbeats, their answers, and their bytes on the wire. */
internal class TrafficCount {
    /** Messages since the last reset. */
    var messages: Long = 0
        private set

    /** Their bytes, with an allowance for the frames of gRPC. */
    var bytes: Long = 0
        private set

    /** Counts [message]. */
    fun count(message: HeartbeatMessage) {
        messages++
        bytes += PeerMessages.toWire(message).serializedSize + FRAME_BYTES
    }

    /** Starts from zero. */
    fun reset() {
        messages = 0
        bytes = 0
    }
}

private const val FRAME_BYTES = 60
