package org.bulrushtack.daemon.operator

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.log.EditSummary
import org.bulrushtack.core.membership.VmKind
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.front.Json
import org.bulrushtack.daemon.front.RequestAuthorizer
import org.bulrushtack.http.HttpExchange

/** Serves this daemon's view of the system and the history of edits. */
internal class StatusResource(
    private val authorizer: RequestAuthorizer,
    private val control: ControlThread,
) {
    /** The state of the log, the daemons and the backend servers, as this daemon sees them. */
    fun status(exchange: HttpExchange, requestId: String) = authorizer.requireOperator(exchange, requestId) {
        control.query { blackboard, nowMillis -> status(blackboard, nowMillis) }
            .thenAccept { exchange.respond(Json.response(status = 200, value = it)) }
    }

    /** The latest edits, newest first. */
    fun history(exchange: HttpExchange, requestId: String) = authorizer.requireOperator(exchange, requestId) {
        control.query { blackboard, _ -> blackboard.log.projection.edits.all().asReversed().map { row(it) } }
            .thenAccept { exchange.respond(Json.response(status = 200, value = HistoryAnswer(edits = it))) }
    }

    private fun status(blackboard: Blackboard, nowMillis: Long): StatusAnswer = StatusAnswer(
        daemon = blackboard.identity.name,
        dataCentre = blackboard.identity.dataCentre,
        appliedOffset = blackboard.log.projection.appliedOffset,
        tailOffset = blackboard.log.tailOffset,
        tailAgeMillis = blackboard.log.tailAgeMillis(nowMillis),
        configured = blackboard.log.configured,
        requests = blackboard.requests.active.size,
        calls = blackboard.calls.active.size,
        claims = blackboard.log.projection.claims.size,
        daemons = daemons(blackboard, nowMillis),
        servers = servers(blackboard),
    )

    private fun daemons(blackboard: Blackboard, nowMillis: Long): List<DaemonRow> =
        blackboard.members.members.values.map { member ->
            DaemonRow(
                name = member.digest.name,
                live = blackboard.members.isLive(name = member.digest.name, nowMillis = nowMillis),
                leaving = member.digest.leaving,
                appliedOffset = member.digest.appliedOffset,
            )
        }

    private fun servers(blackboard: Blackboard): List<ServerRow> =
        blackboard.members.vms.values.filter { it.kind != VmKind.ENTRY }.sortedBy { it.name }.map { vm ->
            val ledger = blackboard.ledgers.find(vm.name)
            ServerRow(
                name = vm.name,
                kind = vm.kind.name.lowercase(),
                dataCentre = vm.dataCentre,
                state = vm.state.name.lowercase(),
                owner = blackboard.log.projection.owners.find(vm.name)?.owner,
                epoch = blackboard.log.projection.owners.find(vm.name)?.epoch ?: 0,
                ownedHere = ledger?.open ?: false,
                cold = ledger?.takeIf { it.open }?.cold,
                share = ledger?.share,
                running = ledger?.running?.size,
                queued = ledger?.queue?.size,
                heldTokens = ledger?.heldTokens(),
                capacityTokens = ledger?.capacityTokens,
            )
        }

    private fun row(edit: EditSummary): EditRow = EditRow(
        offset = edit.offset,
        atMillis = edit.appendedAtMillis,
        operator = edit.operator,
        accepted = edit.conflicts.isEmpty(),
        changes = edit.changes.map { "${it.address} = ${it.value ?: "(unset)"}" },
        conflicts = edit.conflicts.map { it.toString() },
    )

    private data class HistoryAnswer(
        val edits: List<EditRow>,
    )

    private data class EditRow(
        val offset: Long,
        val atMillis: Long,
        val operator: String,
        val accepted: Boolean,
        val changes: List<String>,
        val conflicts: List<String>,
    )

    private data class StatusAnswer(
        val daemon: String,
        val dataCentre: String,
        val appliedOffset: Long,
        val tailOffset: Long,
        val tailAgeMillis: Long?,
        val configured: Boolean,
        val requests: Int,
        val calls: Int,
        val claims: Int,
        val daemons: List<DaemonRow>,
        val servers: List<ServerRow>,
    )

    private data class DaemonRow(
        val name: String,
        val live: Boolean,
        val leaving: Boolean,
        val appliedOffset: Long,
    )

    private data class ServerRow(
        val name: String,
        val kind: String,
        val dataCentre: String,
        val state: String,
        val owner: String?,
        val epoch: Long,
        val ownedHere: Boolean,
        val cold: Boolean?,
        val share: Double?,
        val running: Int?,
        val queued: Int?,
        val heldTokens: Long?,
        val capacityTokens: Long?,
    )
}
