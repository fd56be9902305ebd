package org.bulrushtack.core.reachability

/**
 * Judges by the connections of this daemon whether it reaches any backend server. Only new connections show that:
 * those that are open may live on while no new one gets through.
 */
public class ServerReachability {
    private val lostAtMillis = HashMap<String, Long>()

    /** What the connections show. */
    public var state: Reachability = Reachability.REACHED
        private set

    /** Records that a server accepted a connection. */
    public fun recordConnected() {
        lostAtMillis.clear()
        state = Reachability.REACHED
    }

    /** Records at [nowMillis] that one of [serverCount] servers, at [address], wasn't reached or broke off. */
    public fun recordLost(address: String, serverCount: Int, nowMillis: Long) {
        lostAtMillis.values.removeIf { it < nowMillis - MEMORY_MILLIS }
        lostAtMillis[address] = nowMillis
        val isDoubtful = lostAtMillis.size >= minOf(DOUBTFUL_SERVERS, maxOf(1, serverCount))
        if (state == Reachability.REACHED && isDoubtful) state = Reachability.DOUBTFUL
    }

    /** Records that none of several servers accepted a connection. */
    public fun recordFailedProbes() {
        if (state == Reachability.DOUBTFUL) state = Reachability.CUT_OFF
    }
}

/** Servers end one by one, or a few at a time. */
private const val DOUBTFUL_SERVERS = 3

/** Servers that were lost longer ago may have ended for different reasons. */
private const val MEMORY_MILLIS = 3_000L
