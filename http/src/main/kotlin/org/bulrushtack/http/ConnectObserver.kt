package org.bulrushtack.http

/** Learns what becomes of the attempts of an [HttpClient] to connect. */
public interface ConnectObserver {
    /** A server at [address] has accepted a new connection. */
    public fun onConnected(address: String): Unit = Unit

    /** No connection to [address] could be opened: it was refused, or there was no reply in time. */
    public fun onUnreachable(address: String): Unit = Unit
}
