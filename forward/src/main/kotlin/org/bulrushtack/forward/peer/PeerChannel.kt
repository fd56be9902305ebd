package org.bulrushtack.forward.peer

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import org.bulrushtack.http.ReceptionMonitor

/** The gRPC channel to the daemon at one address, with what is known of its connection. */
internal class PeerChannel(
    val channel: ManagedChannel,
    private val reception: ReceptionMonitor,
) {
    /** Whether a call was ever answered over this channel. */
    @Volatile
    var hasReplied: Boolean = false

    /**
     * Whether nothing was received over the connection since [nanoTime], a [System.nanoTime]. gRPC sets no limit to the
     * time for which it waits for the handshake of a new connection; a slow machine may need more than one call for it.
     */
    fun isSilentSince(nanoTime: Long): Boolean = when (channel.getState(false)) {
        ConnectivityState.READY -> !reception.hasReceivedSince(nanoTime)
        ConnectivityState.CONNECTING -> !reception.hasReceivedSince(System.nanoTime() - HANDSHAKE_NANOS)
        else -> false
    }
}

/** As long as callers wait for a new connection. */
private const val HANDSHAKE_NANOS = 1_000_000_000L
