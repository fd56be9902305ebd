package org.bulrushtack.core.reachability

/** Whether this daemon reaches backend servers. */
public enum class Reachability {
    /** It has reached one lately, or hasn't tried. */
    REACHED,

    /** Several in a row could not be reached; either these have ended, or this daemon is cut off. */
    DOUBTFUL,

    /** None of those that were probed since could be reached either. */
    CUT_OFF,
}
