package org.bulrushtack.core.dispatch

/**
 * Work for one backend server.
 *
 * @property reservedTokens engine memory for prompt and whole answer; 0 for a call of a plain service
 * @property expectedMillis the expected time on the server
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
