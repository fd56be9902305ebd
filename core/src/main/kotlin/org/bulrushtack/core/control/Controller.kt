package org.bulrushtack.core.control

/** Handles events: reads regions of the blackboard, writes its own region, and returns actions to carry out. */
internal fun interface Controller {
    /** Handles [event] at [nowMillis] of the process's monotonic clock. */
    fun handle(event: Event, nowMillis: Long): List<Action>
}
