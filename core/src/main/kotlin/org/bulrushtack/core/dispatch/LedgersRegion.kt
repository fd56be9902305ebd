package org.bulrushtack.core.dispatch

import org.bulrushtack.core.membership.ServerLoad

/**
 * The part of the blackboard that holds the ledgers of owned backend servers. The ownership controller opens and
 * closes them; the dispatch controller writes their contents.
 */
public class LedgersRegion {
    private val ledgers = LinkedHashMap<String, Ledger>()

    /** Opens the ledger of [server] for dispatches under [fence]. */
    public fun open(server: String, fence: Long, nowMillis: Long): Ledger {
        val ledger = ledgers.getOrPut(server) { Ledger(server = server) }
        if (!ledger.open) ledger.reset()
        if (ledger.fence != fence) {
            ledger.fence = fence
            ledger.fenceSinceMillis = nowMillis
            ledger.fenceAccepted = false
        }
        ledger.open = true
        return ledger
    }

    /** Ends the ownership of [server]; its ledger stays until no dispatch is running and no work is queued. */
    public fun close(server: String) {
        val ledger = ledgers[server] ?: return
        ledger.close()
        if (ledger.running.isEmpty() && ledger.queue.isEmpty()) ledgers.remove(server)
    }

    /** The ledger of [server], open or not, or null. */
    public fun find(server: String): Ledger? = ledgers[server]

    /** The names of all backend servers with a ledger. */
    public fun names(): List<String> = ledgers.keys.toList()

    /** All ledgers. */
    public fun all(): Collection<Ledger> = ledgers.values

    /** The ledgers of backend servers that this daemon owns. */
    public fun openLedgers(): List<Ledger> = ledgers.values.filter { it.open }

    /** The loads to report in a heartbeat: those of at most [limit] owned servers, rotating with each [round]. */
    public fun loads(limit: Int, round: Long): List<ServerLoad> {
        val open = openLedgers()
        if (open.isEmpty()) return emptyList()
        val start = (round * limit % open.size).toInt()
        return List(minOf(limit, open.size)) { open[(start + it) % open.size] }.map { ledger ->
            ServerLoad(
                server = ledger.server,
                freeTokens = ledger.capacityTokens - ledger.heldTokens(),
                capacityTokens = ledger.capacityTokens,
                queuedWorkMillis = ledger.queue.sumOf { it.expectedMillis },
                running = ledger.running.size + ledger.foreignRequests.size,
            )
        }
    }
}
