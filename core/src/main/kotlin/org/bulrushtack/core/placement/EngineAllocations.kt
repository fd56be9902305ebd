package org.bulrushtack.core.placement

/** Computes the allocations of a placement. */
public object EngineAllocations {
    /** The allocation on each engine of [placement]; [prefillMillis] is the prefill time on a single engine. */
    public fun compute(
        request: PlacementRequest,
        placement: Placement,
        prefillMillis: Double,
        nowMillis: Long,
    ): List<EngineAllocation> {
        val parts = placement.helpers.size + 1
        val needed = request.shape.promptTokens + request.shape.maximumAnswerTokens
        val reserved = placement.helpers.sumOf { it.reservedTokens } + placement.first.reservedTokens
        val firstAllocation = EngineAllocation(
            placementId = placement.id,
            ingressDaemon = request.ingressDaemon,
            serverId = placement.first.serverId,
            decodes = true,
            memoryTokens = needed - reserved,
            contextTokens = request.shape.promptTokens / parts,
            prefillMillis = prefillMillis / parts,
            tokenGapMillis = request.tokenGapMillis,
            placedAtMillis = nowMillis,
            answerTokens = request.shape.answerTokens,
        )
        return listOf(firstAllocation) + placement.helpers.map { helper ->
            firstAllocation.copy(
                serverId = helper.serverId,
                decodes = false,
                memoryTokens = helper.reservedTokens,
                contextTokens = helper.reservedTokens,
            )
        }
    }
}
