package org.bulrushtack.core.request

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import kotlin.random.Random

/** Decides whether and when a completion is tried again. */
internal class CompletionRetries(
    random: Random,
) {
    private val budget = RetryBudget()
    private val backoff = Backoff(random = random)

    /** Notes a first try. */
    fun firstTry() = budget.earn()

    /** When to try again after [problem], or null for never. */
    fun nextTryAtMillis(active: ActiveRequest, problem: Problem, nowMillis: Long): Long? {
        val retryAtMillis = nowMillis + backoff.pauseMillis(failures = active.failedServers.size + 1)
        val useless = problem.kind in FINAL_KINDS || retryAtMillis >= active.request.deadlineAtMillis
        if (useless || active.attempt >= MAXIMUM_ATTEMPTS || !budget.spend()) return null
        return retryAtMillis
    }
}

private const val MAXIMUM_ATTEMPTS = 8
private val FINAL_KINDS = setOf(
    ErrorKind.PROMPT_TOO_LONG,
    ErrorKind.CANNOT_FINISH,
    ErrorKind.QUEUE_TIMEOUT,
    ErrorKind.MALFORMED_REQUEST,
    ErrorKind.DEADLINE_EXCEEDED,
)
