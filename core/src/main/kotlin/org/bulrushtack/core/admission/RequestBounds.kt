package org.bulrushtack.core.admission

import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape

/** Limits what a caller or a peer may claim of a request, so that sums stay in range and nobody else pays for it. */
internal object RequestBounds {
    /** [request] with its token counts and its priority within their limits. */
    fun clamp(request: PlacementRequest): PlacementRequest = request.copy(
        shape = PromptShape(
            promptTokens = request.shape.promptTokens.coerceIn(1, MAXIMUM_TOKENS),
            answerTokens = request.shape.answerTokens.coerceIn(0, MAXIMUM_TOKENS),
            maximumAnswerTokens = request.shape.maximumAnswerTokens.coerceIn(0, MAXIMUM_TOKENS),
        ),
        priority = request.priority.coerceIn(0, LAST_PRIORITY),
    )
}

/** The least urgent priority that is told apart. */
internal const val LAST_PRIORITY = 9

/** Beyond the memory of all engines of any service. */
private const val MAXIMUM_TOKENS = 1_000_000_000L
