package org.bulrushtack.forward.duty

import org.bulrushtack.forward.wire.DutyCall

/** The platform's duty address. */
internal fun interface DutyAddress {
    /** Sends [call] with the fencing [token]; [onDone] is called once. */
    fun send(call: DutyCall, token: Long, onDone: (DutyCallResult) -> Unit)
}
