package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacementOutcome

/** The placement of one attempt on a backend server: requested, used and released on every exit path. */
internal interface AttemptPlacement {
    /** Requests the placement; the listener may be called before this returns. */
    fun start()

    /** Withdraws the request; releases a placement that was made, with no effect on the server's health record. */
    fun cancel()

    /** Releases the placement with the [outcome] at server [serverId] and the time to its first event. */
    fun release(outcome: PlacementOutcome, serverId: String, firstEventMillis: Long?)
}
