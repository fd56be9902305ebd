package org.bulrushtack.core.dispatch

/**
 * A unit of work for one backend server: an attempt of a completion or a call.
 *
 * @property reservedTokens engine memory for the prompt and the whole answer; 0 for a call of a plain service
 * @property expectedMillis the expected execution time on the server
 * @property deadlineAtMillis the deadline by the owner's monotonic clock
 */
public data class Work(
    val id: WorkId,
    val server: String,
    val workspace: String,
    val reservedTokens: Long,
    val expectedMillis: Long,
    val receivedAtMillis: Long,
    val deadlineAtMillis: Long,
)
