package org.bulrushtack.core.dispatch

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event

/** Updates ledgers from what backend servers report, and cancels requests that no live daemon waits for. */
internal class ServerObserver(
    private val blackboard: Blackboard,
) {
    private val ledgers = blackboard.ledgers

    /** Applies a load report; a report of another incarnation than the current one is ignored. */
    fun updateFromReport(event: Event.ServerReported, nowMillis: Long): List<Action> {
        val ledger = ledgers.find(event.server)?.takeIf { it.incarnation == event.report.incarnation }
        when {
            ledger == null -> Unit
            event.report.cold -> markCold(ledger)
            ledger.cold -> markWarm(ledger = ledger, nowMillis = nowMillis)
        }
        return emptyList()
    }

    /** Applies the server's list; the memory of lost dispatches that aren't in it is released. */
    fun updateFromList(event: Event.ServerListed, address: String, nowMillis: Long): List<Action> {
        val ledger = ledgers.find(event.server)?.takeUnless { it.hasNewerList(event.requestedAtMillis) }
            ?: return emptyList()
        val list = event.list
        updateIncarnation(ledger = ledger, incarnation = list.incarnation)
        ledger.capacityTokens = list.capacityTokens
        ledger.leaving = list.leaving
        releaseFinished(ledger = ledger, event = event)
        val held = list.requests.map { it.id }.toSet()
        ledger.running.keys.filter { it.serverRequestId in held }.forEach { ledger.acknowledge(it) }
        val own = ledger.running.keys.map { it.serverRequestId }.toSet()
        ledger.foreignRequests = list.requests.filter { it.id !in own }.associateBy { it.id }
        ledger.listRequestedAtMillis = event.requestedAtMillis
        val suspectSince = ledger.suspectSinceMillis
        if (suspectSince != null && event.requestedAtMillis >= suspectSince) ledger.suspectSinceMillis = null
        return cancelActions(ledger = ledger, address = address, nowMillis = nowMillis)
    }

    /** Applies the server's first response to a dispatch. */
    fun acknowledge(event: Event.WorkAcknowledged): List<Action> {
        val ledger = ledgers.all().firstOrNull { event.id in it.running } ?: return emptyList()
        updateIncarnation(ledger = ledger, incarnation = event.incarnation)
        ledger.acknowledge(event.id)
        return emptyList()
    }

    /** Records the server's incarnation; a new incarnation is cold and holds no earlier requests. */
    fun updateIncarnation(ledger: Ledger, incarnation: String) {
        if (ledger.incarnation == incarnation) return
        ledger.incarnation = incarnation
        ledger.foreignRequests = emptyMap()
        markCold(ledger)
    }

    private fun markCold(ledger: Ledger) {
        ledger.cold = true
        ledger.rampSinceMillis = null
        ledger.rampFloor = 0
    }

    private fun markWarm(ledger: Ledger, nowMillis: Long) {
        ledger.cold = false
        ledger.rampSinceMillis = nowMillis
        ledger.rampFloor = ledger.running.size + ledger.foreignRequests.size
    }

    /** A lost dispatch has finished if a list doesn't contain it that was requested after its connection was lost. */
    private fun releaseFinished(ledger: Ledger, event: Event.ServerListed) {
        val held = event.list.requests.map { it.id }.toSet()
        ledger.running.values
            .filter { dispatch -> dispatch.lostAtMillis?.let { it <= event.requestedAtMillis } ?: false }
            .filter { it.work.id.serverRequestId !in held }
            .forEach { ledger.running.remove(it.work.id) }
    }

    private fun cancelActions(ledger: Ledger, address: String, nowMillis: Long): List<Action> {
        val lost = ledger.running.values.filter { it.lostAtMillis != null }.map { it.work.id.serverRequestId }
        val orphans = ledger.foreignRequests.values.filter { isOrphan(it, nowMillis) }.map { it.id }
        return (lost + orphans).map { id ->
            Action.CancelOnServer(server = ledger.server, address = address, serverRequestId = id, fence = ledger.fence)
        }
    }

    private fun isOrphan(request: RunningList.RunningRequest, nowMillis: Long): Boolean {
        val member = blackboard.members.members[request.owner]
        return request.owner == blackboard.identity.name || member == null ||
            member.digest.incarnation != request.ownerIncarnation ||
            !blackboard.members.isLive(name = request.owner, nowMillis = nowMillis)
    }
}
