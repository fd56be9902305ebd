package org.bulrushtack.forward.peer

import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import org.bulrushtack.http.ReceptionMonitor

/**
 * The gRPC channel to the daemon at one address, with what is known of its connection.
 *
 * @property handshakeNanos how long the handshake of a connection may take; gRPC sets no limit to it
 */
internal class PeerChannel(
    val channel: ManagedChannel,
    private val reception: ReceptionMonitor,
    val handshakeNanos: Long,
) {
    /** Whether a call was ever answered over this channel. */
    @Volatile
    var hasReplied: Boolean = false

    @Volatile
    private var isSilent = false

    /**
     * Whether nothing was received over an open connection since [nanoTime], a [System.nanoTime], or for longer than a
     * handshake may take. A channel that was found silent once stays so, also for calls that end after its replacement.
     */
    fun isSilentSince(nanoTime: Long): Boolean {
        isSilent = isSilent || when (channel.getState(false)) {
            ConnectivityState.READY -> !reception.hasReceivedSince(nanoTime)
            ConnectivityState.CONNECTING -> !reception.hasReceivedSince(System.nanoTime() - handshakeNanos)
            else -> false
        }
        return isSilent
    }
}
