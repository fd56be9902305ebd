package org.bulrushtack.core.scaling

/** An order of [desired] servers of [service] in [dataCentre], with the [reason] for which it is sent. */
public data class ScaleOrder(
    val service: String,
    val dataCentre: String,
    val desired: Int,
    val reason: Reason,
) {
    /** Why an order is sent. */
    public enum class Reason {
        /** The desired number differs from the last acknowledged order. */
        CHANGED,

        /** The list of servers has shown another number than ordered for too long. */
        NOT_CARRIED_OUT,
    }
}
