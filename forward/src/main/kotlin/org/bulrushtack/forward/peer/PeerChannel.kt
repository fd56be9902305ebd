package org.bulrushtack.forward.peer

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel

/** The gRPC channel to the daemon at one address, with what is known of its connection. */
internal class PeerChannel(
    val channel: ManagedChannel,
    private val reception: ReceptionMonitor,
) {
    /** Whether a sync was ever answered over this channel. */
    @Volatile
    var hasReplied: Boolean = false

    /** Whether a connection is open over which nothing was received since [nanoTime], a [System.nanoTime]. */
    fun isSilentSince(nanoTime: Long): Boolean =
        channel.getState(false) == ConnectivityState.READY && !reception.hasReceivedSince(nanoTime)
}
