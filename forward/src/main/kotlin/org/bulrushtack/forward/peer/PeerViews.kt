package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonSetHistory
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.PeerDaemonView
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest

/** What daemons have told one another of the live ones, so that only changes are sent. */
internal class PeerViews(
    private val daemons: DaemonTable,
) {
    private val changes = DaemonSetHistory()
    private val views = HashMap<String, PeerDaemonView>()

    /** Says in [request] what the daemon at [address] has told so far. */
    fun addTo(request: SyncRequest.Builder, address: String) {
        views[address]?.let { request.setViewIncarnation(it.incarnation).setViewVersion(it.version) }
    }

    /** Puts into [reply] what the sender of [request] has missed of the daemons that spoke to this one. */
    fun addTo(reply: SyncReply.Builder, request: SyncRequest, nowMillis: Long) {
        changes.update(daemons.directContacts(nowMillis).map { it.daemon })
        val knows = request.viewIncarnation == daemons.self.incarnation
        val change = changes.since(if (knows) request.viewVersion else 0)
        reply.setViewVersion(change.version).setViewComplete(change.complete).addAllGone(change.removed)
        change.daemons.forEach { reply.addDaemons(DaemonMessages.toWire(it, ageMillis = 0)) }
    }

    /** Takes [reply] over and gives all daemons that its sender vouches for. */
    fun take(address: String, reply: SyncReply, askedAtMillis: Long): Collection<DaemonInfo> {
        val known = views[address]?.takeIf { it.incarnation == reply.sender.incarnation }
        val view = known ?: PeerDaemonView(reply.sender.incarnation).also { views[address] = it }
        view.applyDelta(DaemonMessages.change(reply)).forEach { daemons.withdrawReport(it, askedAtMillis) }
        return view.daemons
    }
}
