package org.bulrushtack.forward.duty

/** A duty that the daemon performs while it holds the duties. All calls come from the network thread. */
interface DutyTask {
    /** Called every 100 ms while this daemon holds the duties through [session]. */
    fun tick(session: DutySession, nowMillis: Long)

    /** Called when this daemon no longer holds the duties. */
    fun onHoldLost()
}
