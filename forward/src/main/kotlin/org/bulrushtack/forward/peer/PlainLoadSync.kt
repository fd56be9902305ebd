package org.bulrushtack.forward.peer

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.placement.PlainLoads
import org.bulrushtack.protocol.PlainLoad
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest

/**
 * Exchanges the calls in flight on plain servers with each sync.
 *
 * @param own this daemon's calls in flight by server id
 */
internal class PlainLoadSync(
    private val loads: PlainLoads,
    private val own: () -> Map<String, Int>,
    private val clock: MonotonicClock,
) {
    /** Adds this daemon's counts to [request]. */
    fun addTo(request: SyncRequest.Builder) {
        request.addAllPlainLoads(own().map { (id, count) -> toWire(id, count.toLong()) })
    }

    /** Records the counts in [request] and adds the sums of all daemons to [reply]. */
    fun handle(request: SyncRequest, reply: SyncReply.Builder) {
        val nowMillis = clock.nowMillis()
        loads.recordReport(request.sender.name, fromWire(request.plainLoadsList), nowMillis)
        reply.addAllPlainLoads(loads.totals(own(), nowMillis).map { (id, count) -> toWire(id, count) })
    }

    /** Records the sums in [reply], which comes from one of the daemons that all others sync with. */
    fun onReply(reply: SyncReply) = loads.recordTotals(fromWire(reply.plainLoadsList), clock.nowMillis())

    private fun toWire(id: String, count: Long): PlainLoad =
        PlainLoad.newBuilder().setServerId(id).setInFlight(count).build()

    private fun fromWire(counts: List<PlainLoad>): Map<String, Long> =
        counts.take(MAXIMUM_SERVERS).associate { it.serverId to it.inFlight }
}

/** Far more plain servers than any deployment has; a longer list is not worth its memory. */
private const val MAXIMUM_SERVERS = 4_096
