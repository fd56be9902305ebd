package org.bulrushtack.core.request

import org.bulrushtack.core.error.Problem

/**
 * A completion whose result is pending.
 *
 * @property attempt the number of the last attempt, from 1; 0 before the first
 * @property server the backend server of the attempt in flight, or null between attempts
 * @property owner the daemon that the attempt in flight was sent to
 * @property lastTokenAtMillis when tokens of the attempt in flight last arrived, or null
 * @property retryAtMillis when to retry, or null while an attempt is in flight
 * @property dispatches how many attempts reached a backend server
 * @property lostUnanswered how many backend servers were lost under it before they sent a token
 * @property selectionFailures how often no backend server could be selected
 * @property lastReachedServer whether the last attempt reached a backend server
 * @property lastProblem why the last attempt failed
 * @property mayHaveRun whether an earlier attempt may have reached a backend server
 */
public data class ActiveRequest(
    val request: CompletionRequest,
    val attempt: Int = 0,
    val server: String? = null,
    val owner: String? = null,
    val lastTokenAtMillis: Long? = null,
    val failedServers: Set<String> = emptySet(),
    val retryAtMillis: Long? = null,
    val dispatches: Int = 0,
    val lostUnanswered: Int = 0,
    val selectionFailures: Int = 0,
    val lastReachedServer: Boolean = false,
    val lastProblem: Problem? = null,
    val mayHaveRun: Boolean = false,
)
