package org.bulrushtack.http

/** Learns what the operator of a server should see of its connections. Called on a network thread. */
public fun interface ConnectionObserver {
    /** A connection ended while it owed a response. */
    public fun onResponseLost(end: ConnectionEnd)

    public companion object {
        /** Does nothing. */
        public val None: ConnectionObserver = ConnectionObserver { }
    }
}
