package org.bulrushtack.forward.reachability

import org.bulrushtack.core.reachability.Reachability
import org.bulrushtack.core.reachability.ServerReachability
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.http.ConnectObserver
import kotlin.random.Random

/**
 * Finds out whether this daemon has lost its links to all backend servers while other daemons have not, and tells the
 * others. Such a daemon is not ready: callers are better off at the others. While no daemon reaches a server, all of
 * them stay ready.
 */
internal class ReachabilityMonitor(
    private val state: ForwardState,
    private val thread: ForwardThread,
    private val random: Random,
    private val log: EventLog,
) : ConnectObserver {
    private val reachability = ServerReachability()
    private var isProbing = false
    private var probedAtMillis = 0L

    /** Probes servers; set later, as the client that it uses reports its connections to this monitor. */
    var prober: ConnectionProber = ConnectionProber { _, onResult -> onResult(true) }

    /** Called when this daemon was cut off, and when it no longer is. */
    var onChanged: () -> Unit = {}

    /** Whether a failure to reach a server says something about the server rather than about this daemon. */
    val trustsFailures: Boolean get() = reachability.state == Reachability.REACHED

    override fun onConnected(address: String) = thread.runInTurn { recordConnected() }

    override fun onUnreachable(address: String) = thread.runInTurn { recordLost(address) }

    /** Records that the server at [address] could not be reached or broke a connection off. */
    fun recordLost(address: String) {
        reachability.recordLost(address, serverCount = state.fleet.stored.size, nowMillis = thread.nowMillis())
        if (reachability.state == Reachability.DOUBTFUL) probe()
    }

    /** Probes again while no server is reached, and looks whether the other daemons reach any. */
    fun tick() {
        val isDue = thread.nowMillis() - probedAtMillis >= PROBE_INTERVAL_MILLIS
        if (!trustsFailures && isDue) probe()
        publish()
    }

    private fun recordConnected() {
        reachability.recordConnected()
        publish()
    }

    private fun probe() {
        val probed = state.fleet.stored.map { it.entry.address }.shuffled(random).take(PROBES)
        if (isProbing || probed.isEmpty()) return
        isProbing = true
        probedAtMillis = thread.nowMillis()
        var open = probed.size
        var isReached = false
        probed.forEach { address ->
            prober.probe(address) { connected ->
                open -= 1
                isReached = isReached || connected
                if (connected) recordConnected()
                if (open == 0) onProbed(isReached)
            }
        }
    }

    private fun onProbed(isReached: Boolean) {
        isProbing = false
        if (!isReached) reachability.recordFailedProbes()
        publish()
    }

    private fun publish() {
        val daemons = state.daemons
        val reaches = reachability.state != Reachability.CUT_OFF
        if (daemons.self.reachesServers != reaches) daemons.self = daemons.self.copy(reachesServers = reaches)
        val isCutOff = !reaches && daemons.live(thread.nowMillis()).any { it.ready && it.reachesServers }
        if (state.isCutOff == isCutOff) return
        state.isCutOff = isCutOff
        val sentence = if (isCutOff) CUT_OFF_SENTENCE else "This daemon takes callers again."
        log.warn(sentence, LogField("reaches_servers", reaches), LogField("servers", state.fleet.size))
        onChanged()
    }
}

private const val CUT_OFF_SENTENCE = "This daemon reaches no backend server, but others do; it sends its callers there."

/** Enough that they hardly have all ended, for whatever reason, while others have not. */
private const val PROBES = 4

/** A daemon that is back has to serve its callers again soon; a probe that gets no reply ends after 0.5 s. */
private const val PROBE_INTERVAL_MILLIS = 300L
