package org.bulrushtack.forward.duty

import org.bulrushtack.forward.wire.DutyCall

/** One hold of the duties by this daemon, from the claim until the loss of the hold. */
interface DutySession {
    /** The fencing token of this hold. */
    val token: Long

    /** The steady time at which this daemon got the hold. */
    val heldSinceMillis: Long

    /**
     * Confirms the hold with the store and then sends [call] to the duty address. [onDone] is called once, with
     * [DutyCallResult.NOT_SENT] if the hold could not be confirmed.
     */
    fun call(call: DutyCall, onDone: (DutyCallResult) -> Unit)
}
