package org.bulrushtack.forward.wire

import org.bulrushtack.core.placement.PromptShape

/**
 * The parsed headers of a caller's request; a header that is missing or malformed is null.
 *
 * @property attemptId the id of this attempt of the caller
 * @property deadlineMillis how long the caller waits for the response
 * @property key the workspace key
 * @property lastEventId the id of the last event of this stream that the caller received
 * @property prompt the size of the prompt; null for a call to a plain service
 * @property requiresVersion whether servers that have another version of the model than the caller names refuse it
 * @property sharedParts the ids of those parts of the prompt that other requests may share; empty when it names none
 */
data class CallerRequestHead(
    val attemptId: String?,
    val deadlineMillis: Long?,
    val key: String?,
    val lastEventId: String?,
    val prompt: PromptShape?,
    val requiresVersion: Boolean = false,
    val sharedParts: Set<String> = emptySet(),
)
