package org.bulrushtack.core.control

/** Reads regions of the blackboard, writes its own, and says what is to be done. */
internal fun interface Controller {
    /** Takes one event at [nowMillis] of the process's monotonic clock. */
    fun handle(event: Event, nowMillis: Long): List<Action>
}
