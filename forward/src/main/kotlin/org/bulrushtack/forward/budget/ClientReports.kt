package org.bulrushtack.forward.budget

import io.netty.util.internal.PlatformDependent
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.budget.BudgetAction
import org.bulrushtack.http.budget.Holding
import org.bulrushtack.http.budget.PortRole
import org.bulrushtack.http.budget.ResourceBudget

/** Counts and logs the clients that were refused or closed for lack of a resource, and shows what is held. */
internal class ClientReports(
    private val metrics: ForwardMetrics,
    private val log: EventLog,
) {
    private val counts = LinkedHashMap<Key, Summary>()
    private val totals = LongArray(BudgetAction.Kind.entries.size)
    private var reviews = 0

    /** Records [action]. */
    @Synchronized
    fun record(action: BudgetAction) {
        totals[action.kind.ordinal] += 1L
        val summary = counts.getOrPut(Key(action.kind, action.role)) { Summary() }
        summary.count += 1
        summary.heldBytes += action.heldBytes
        summary.lastAddress = action.address
    }

    /** Logs about once a second what was recorded since, and who fills the [budget]. */
    @Synchronized
    fun write(budget: ResourceBudget) {
        reviews += 1
        if (reviews % REVIEWS_PER_REPORT != 0) return
        counts.forEach { (key, summary) -> log.warn("Clients were refused or closed.", fields(key, summary, budget)) }
        counts.clear()
    }

    /** Registers a gauge for each holding, for the connections of each port and for the limits. */
    fun registerGauges(budget: ResourceBudget) {
        Holding.entries.forEach { holding ->
            metrics.gauge("bulrushtack.forward.held.${holding.name.lowercase()}.bytes") { budget.heldBytes(holding) }
        }
        PortRole.entries.forEach { role ->
            metrics.gauge("bulrushtack.forward.connections.${role.name.lowercase()}") { budget.connections(role) }
        }
        BudgetAction.Kind.entries.forEach { kind ->
            metrics.gauge("bulrushtack.forward.clients.${kind.name.lowercase()}") { totals[kind.ordinal] }
        }
        metrics.gauge("bulrushtack.forward.connections.outgoing") { budget.outgoingConnections }
        metrics.gauge("bulrushtack.forward.direct.bytes") { PlatformDependent.usedDirectMemory() }
        metrics.gauge("bulrushtack.forward.held.limit.bytes") { budget.currentLimits.heldBytes }
        metrics.gauge("bulrushtack.forward.sockets.limit") { budget.currentLimits.sockets }
    }

    private fun fields(key: Key, summary: Summary, budget: ResourceBudget): List<LogField> {
        val largest = budget.largestClients(LARGEST_CLIENTS).entries.joinToString(",") { "${it.key}=${it.value}" }
        val holdings = Holding.entries.joinToString(",") { "${it.name.lowercase()}=${budget.heldBytes(it)}" }
        return listOf(
            LogField("what", key.kind.name.lowercase()),
            LogField("port", key.role.name.lowercase()),
            LogField("count", summary.count),
            LogField("held_bytes", summary.heldBytes),
            LogField("last_address", summary.lastAddress),
            LogField("connections", budget.connections(key.role)),
            LogField("holdings", holdings),
            LogField("limit_bytes", budget.currentLimits.heldBytes),
            LogField("largest", largest),
        )
    }

    private data class Key(
        val kind: BudgetAction.Kind,
        val role: PortRole,
    )

    private class Summary {
        var count = 0
        var heldBytes = 0L
        var lastAddress = ""
    }
}

/** Reviews come every 250 ms. */
private const val REVIEWS_PER_REPORT = 4
private const val LARGEST_CLIENTS = 5
