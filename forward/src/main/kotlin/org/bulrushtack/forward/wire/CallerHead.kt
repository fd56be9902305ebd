package org.bulrushtack.forward.wire

import org.bulrushtack.core.placement.PromptShape

/**
 * What the headers of a caller's request say.
 *
 * @property attemptId the id of this attempt of the caller, or null when it has none
 * @property deadlineMillis how long the caller waits, or null when it doesn't say
 * @property key the workspace key, or null
 * @property lastEventId the last event that the caller has of this stream, or null
 * @property prompt the size of the prompt, or null for a plain call
 */
data class CallerHead(
    val attemptId: String?,
    val deadlineMillis: Long?,
    val key: String?,
    val lastEventId: String?,
    val prompt: PromptShape?,
)
