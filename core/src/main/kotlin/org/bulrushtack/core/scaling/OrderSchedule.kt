package org.bulrushtack.core.scaling

/**
 * Decides when the order for one service in one data centre is sent. An order without a response may still be carried
 * out, also after a later one, so only the list of servers tells what the platform has done.
 */
internal class OrderSchedule {
    private var acknowledged: Int? = null
    private var nextAtMillis = 0L
    private var failures = 0
    private var differsSinceMillis: Long? = null

    /** The last acknowledged number, or null. */
    val lastAcknowledged: Int? get() = acknowledged

    /** Why an order of [desired] servers is due while the list shows [usable]; null if none is. */
    fun due(desired: Int, usable: Int, patienceMillis: Long, nowMillis: Long): ScaleOrder.Reason? {
        val differs = acknowledged != null && acknowledged != usable
        differsSinceMillis = if (differs) differsSinceMillis ?: nowMillis else null
        val isOverdue = differsSinceMillis.let { it != null && nowMillis - it > patienceMillis }
        return when {
            nowMillis < nextAtMillis -> null
            // An earlier holder may have ordered what the list shows, so that only a difference needs an order.
            (acknowledged ?: usable) != desired -> ScaleOrder.Reason.CHANGED
            isOverdue -> ScaleOrder.Reason.NOT_CARRIED_OUT
            else -> null
        }
    }

    /** Records that an order is sent. */
    fun recordSent(nowMillis: Long) {
        nextAtMillis = nowMillis + INTERVAL_MILLIS
    }

    /** Records that the platform has accepted an order of [desired] servers. */
    fun recordAccepted(desired: Int, nowMillis: Long) {
        if (acknowledged != desired || differsSinceMillis != null) differsSinceMillis = nowMillis
        acknowledged = desired
        failures = 0
    }

    /** Records that an order was not accepted, or may not have been; [jitter] from 0 to 1 spreads the next attempt. */
    fun recordFailure(nowMillis: Long, jitter: Double) {
        val backoffMillis = minOf(MAXIMUM_BACKOFF_MILLIS, INTERVAL_MILLIS shl minOf(failures, MAXIMUM_DOUBLINGS))
        failures += 1
        nextAtMillis = nowMillis + backoffMillis + (backoffMillis * jitter / 2).toLong()
    }
}

/** The platform takes at most one order a second for each service and data centre. */
private const val INTERVAL_MILLIS = 1_000L
private const val MAXIMUM_BACKOFF_MILLIS = 4_000L
private const val MAXIMUM_DOUBLINGS = 2
