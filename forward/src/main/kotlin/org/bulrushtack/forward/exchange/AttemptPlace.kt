package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacementOutcome

/** One try's place on a backend server: looked for, used, and freed again on every way out. */
internal interface AttemptPlace {
    /** Starts to look; the listener may hear before this returns. */
    fun begin()

    /** Stops looking; a place that was found is freed without a word on the server. */
    fun cancel()

    /** Frees the place; [outcome] is about the server [serverId], [firstEventMillis] the time to its first event. */
    fun release(outcome: PlacementOutcome, serverId: String, firstEventMillis: Long?)
}
