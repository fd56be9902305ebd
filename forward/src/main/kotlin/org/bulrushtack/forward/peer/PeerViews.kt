package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonSetHistory
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.PeerDaemonView
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest

/** The sets of live daemons that peers report to one another, so that a sync only carries the changes. */
internal class PeerViews(
    private val daemons: DaemonTable,
) {
    private val history = DaemonSetHistory()
    private val views = HashMap<String, PeerDaemonView>()

    /** Adds to [request] the version of the view that the daemon at [address] has reported so far. */
    fun addTo(request: SyncRequest.Builder, address: String) {
        views[address]?.let { request.setViewIncarnation(it.incarnation).setViewVersion(it.version) }
    }

    /** Adds to [reply] the changes, among the daemons in direct contact, that the sender of [request] lacks. */
    fun addTo(reply: SyncReply.Builder, request: SyncRequest, nowMillis: Long) {
        history.update(daemons.directContacts(nowMillis).map { it.daemon })
        val isSameIncarnation = request.viewIncarnation == daemons.self.incarnation
        val delta = history.since(if (isSameIncarnation) request.viewVersion else 0)
        reply.setViewVersion(delta.version).setViewComplete(delta.complete).addAllGone(delta.removed)
        delta.daemons.forEach { reply.addDaemons(DaemonMessages.toWire(it, ageMillis = 0)) }
    }

    /** Applies the delta in [reply] and returns all daemons that its sender reports as live. */
    fun applyReply(address: String, reply: SyncReply, sentAtMillis: Long): Collection<DaemonInfo> {
        val known = views[address]?.takeIf { it.incarnation == reply.sender.incarnation }
        val view = known ?: PeerDaemonView(reply.sender.incarnation).also { views[address] = it }
        view.applyDelta(DaemonMessages.delta(reply)).forEach { daemons.withdrawReport(it, sentAtMillis) }
        return view.daemons
    }
}
