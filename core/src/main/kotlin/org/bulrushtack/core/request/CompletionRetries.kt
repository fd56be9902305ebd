package org.bulrushtack.core.request

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import kotlin.random.Random

/** Decides whether and when a completion is retried. */
internal class CompletionRetries(
    random: Random,
) {
    private val budget = RetryBudget()
    private val backoff = Backoff(random = random)

    /** Adds a first attempt to the retry budget. */
    fun recordFirstAttempt() = budget.deposit()

    /**
     * Returns when to retry after [problem], or null for never. An attempt that reached no backend server put no load
     * on any of them: it counts neither against the budget nor against the limit of dispatches.
     */
    fun nextAttemptAtMillis(active: ActiveRequest, problem: Problem, nowMillis: Long): Long? {
        val retryAtMillis = nowMillis + backoff.delayMillis(failures = active.attempt + active.selectionFailures + 1)
        val isFinal = problem.kind in FINAL_KINDS || retryAtMillis >= active.request.deadlineAtMillis
        return when {
            isFinal || active.dispatches >= MAXIMUM_DISPATCHES -> null
            active.lostUnanswered >= MAXIMUM_LOST_UNANSWERED -> null
            active.lastReachedServer && !budget.tryWithdraw() -> null
            else -> retryAtMillis
        }
    }
}

private const val MAXIMUM_DISPATCHES = 8

/** More engines that are lost before their first token are likely to crash under the prompt itself. */
private const val MAXIMUM_LOST_UNANSWERED = 3
private val FINAL_KINDS = setOf(
    ErrorKind.PROMPT_TOO_LONG,
    ErrorKind.CANNOT_FINISH,
    ErrorKind.QUEUE_TIMEOUT,
    ErrorKind.MALFORMED_REQUEST,
    ErrorKind.DEADLINE_EXCEEDED,
)
