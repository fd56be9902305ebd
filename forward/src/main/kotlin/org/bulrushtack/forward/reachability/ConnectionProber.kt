package org.bulrushtack.forward.reachability

/** Finds out whether a connection can be opened. */
internal fun interface ConnectionProber {
    /** Passes to [onResult] whether the server at [address] accepts a connection, which carries no request. */
    fun probe(address: String, onResult: (connected: Boolean) -> Unit)
}
