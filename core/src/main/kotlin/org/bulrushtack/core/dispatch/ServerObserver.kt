package org.bulrushtack.core.dispatch

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event

/** Brings a backend server's own words into its ledger and cancels what no living daemon waits for. */
internal class ServerObserver(
    private val blackboard: Blackboard,
) {
    private val ledgers = blackboard.ledgers

    /** Takes a load report; one of another incarnation is too late to count. */
    fun report(event: Event.ServerReported, nowMillis: Long): List<Action> {
        val ledger = ledgers.find(event.server)?.takeIf { it.incarnation == event.report.incarnation }
        when {
            ledger == null -> Unit
            event.report.cold -> cool(ledger)
            ledger.cold -> warm(ledger = ledger, nowMillis = nowMillis)
        }
        return emptyList()
    }

    /** Takes the server's list; requests that it no longer holds free their memory. */
    fun list(event: Event.ServerListed, address: String, nowMillis: Long): List<Action> {
        val ledger = ledgers.find(event.server)?.takeUnless { it.isListedAfter(event.requestedAtMillis) }
            ?: return emptyList()
        val list = event.list
        seeIncarnation(ledger = ledger, incarnation = list.incarnation)
        ledger.capacityTokens = list.capacityTokens
        ledger.leaving = list.leaving
        freeWhatEnded(ledger = ledger, event = event)
        val held = list.requests.map { it.id }.toSet()
        ledger.running.keys.filter { it.serverRequestId in held }.forEach { ledger.acknowledge(it) }
        val own = ledger.running.keys.map { it.serverRequestId }.toSet()
        ledger.foreignRequests = list.requests.filter { it.id !in own }.associateBy { it.id }
        ledger.listRequestedAtMillis = event.requestedAtMillis
        val suspectSince = ledger.suspectSinceMillis
        if (suspectSince != null && event.requestedAtMillis >= suspectSince) ledger.suspectSinceMillis = null
        return cancels(ledger = ledger, address = address, nowMillis = nowMillis)
    }

    /** Takes the server's first answer to a dispatch. */
    fun acknowledge(event: Event.WorkAcknowledged): List<Action> {
        val ledger = ledgers.all().firstOrNull { event.id in it.running } ?: return emptyList()
        seeIncarnation(ledger = ledger, incarnation = event.incarnation)
        ledger.acknowledge(event.id)
        return emptyList()
    }

    /** Notes the server's incarnation; a new one is cold and holds nothing of before. */
    fun seeIncarnation(ledger: Ledger, incarnation: String) {
        if (ledger.incarnation == incarnation) return
        ledger.incarnation = incarnation
        ledger.foreignRequests = emptyMap()
        cool(ledger)
    }

    private fun cool(ledger: Ledger) {
        ledger.cold = true
        ledger.rampSinceMillis = null
        ledger.rampFloor = 0
    }

    private fun warm(ledger: Ledger, nowMillis: Long) {
        ledger.cold = false
        ledger.rampSinceMillis = nowMillis
        ledger.rampFloor = ledger.running.size + ledger.foreignRequests.size
    }

    /** Only dispatches from before the question can be missing from its answer because they ended. */
    private fun freeWhatEnded(ledger: Ledger, event: Event.ServerListed) {
        val held = event.list.requests.map { it.id }.toSet()
        ledger.running.values
            .filter { charge -> charge.lostAtMillis?.let { it <= event.requestedAtMillis } ?: false }
            .filter { it.work.id.serverRequestId !in held }
            .forEach { ledger.running.remove(it.work.id) }
    }

    private fun cancels(ledger: Ledger, address: String, nowMillis: Long): List<Action> {
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
