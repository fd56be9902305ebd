package org.bulrushtack.core.placement

/** Works out what a placement costs each of its engines. */
public object EngineAllocations {
    /** The residents of [placement], whose whole prompt takes [readMillis] to read on one engine. */
    public fun of(
        request: PlacementRequest,
        placement: Placement,
        readMillis: Double,
        nowMillis: Long,
    ): List<EngineAllocation> {
        val parts = placement.helpers.size + 1
        val needed = request.shape.promptTokens + request.shape.maximumAnswerTokens
        val reserved = placement.helpers.sumOf { it.ticketTokens } + placement.first.ticketTokens
        val resident = EngineAllocation(
            placementId = placement.id,
            taker = request.taker,
            serverId = placement.first.serverId,
            writes = true,
            memoryTokens = needed - reserved,
            contextTokens = request.shape.promptTokens / parts,
            readMillis = readMillis / parts,
            pauseMillis = request.pauseMillis,
            placedAtMillis = nowMillis,
        )
        return listOf(resident) + placement.helpers.map { helper ->
            resident.copy(
                serverId = helper.serverId,
                writes = false,
                memoryTokens = helper.ticketTokens,
                contextTokens = helper.ticketTokens,
            )
        }
    }
}
