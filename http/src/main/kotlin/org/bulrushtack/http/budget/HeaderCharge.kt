package org.bulrushtack.http.budget

/** What is counted for one set of headers; asks for room in steps, so that a usual request asks only once. */
internal class HeaderCharge(
    private val account: ConnectionAccount,
) {
    private var heldBytes = 0L
    private var usedBytes = 0L

    /** Counts [bytes] more; returns false when they do not fit. */
    fun tryAdd(bytes: Long): Boolean {
        usedBytes += bytes
        val missing = usedBytes - heldBytes
        val step = maxOf(STEP_BYTES, missing)
        val fits = missing <= 0 || account.tryHold(Holding.HEADERS, step)
        if (fits && missing > 0) heldBytes += step
        return fits
    }

    /** Ends the count, as the headers are no longer needed. */
    fun release() {
        account.hold(Holding.HEADERS, -heldBytes)
        heldBytes = 0
        usedBytes = 0
    }
}

/** About ten usual fields. */
private const val STEP_BYTES = 4_096L
