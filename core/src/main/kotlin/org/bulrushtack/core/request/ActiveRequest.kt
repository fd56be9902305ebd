package org.bulrushtack.core.request

/**
 * A completion that has not ended.
 *
 * @property attempt the number of the last attempt, from 1; 0 before the first
 * @property server the backend server of the attempt under way, or null between attempts
 * @property owner the daemon that the attempt under way was sent to
 * @property retryAtMillis when to try again, or null while an attempt is under way
 * @property mayHaveRun whether an earlier attempt may have reached a backend server
 */
public data class ActiveRequest(
    val request: CompletionRequest,
    val attempt: Int = 0,
    val server: String? = null,
    val owner: String? = null,
    val failedServers: Set<String> = emptySet(),
    val retryAtMillis: Long? = null,
    val mayHaveRun: Boolean = false,
)
