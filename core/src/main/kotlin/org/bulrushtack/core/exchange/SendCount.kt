package org.bulrushtack.core.exchange

/**
 * Counts the sends of one request.
 *
 * @property arrived sends of which any byte may have reached a backend server
 * @property notSent sends that failed before any byte can have reached one
 * @property mayHaveRun whether the request may have run in any of them
 */
public data class SendCount(
    val arrived: Int = 0,
    val notSent: Int = 0,
    val mayHaveRun: Boolean = false,
) {
    /** All sends. */
    public val total: Int get() = arrived + notSent

    /** The count after one more send with [outcome]. */
    public fun after(outcome: SendOutcome): SendCount = when (outcome) {
        SendOutcome.NOT_SENT -> copy(notSent = notSent + 1)
        else -> copy(arrived = arrived + 1, mayHaveRun = mayHaveRun || outcome.mayHaveRun)
    }
}
