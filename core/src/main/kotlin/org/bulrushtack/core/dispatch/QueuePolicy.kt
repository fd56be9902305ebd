package org.bulrushtack.core.dispatch

/** Decides the order of an owner's queue. */
public fun interface QueuePolicy {
    /** The rank of [work]; the lowest rank is dispatched first. It doesn't change while the work waits. */
    public fun rank(work: Work): Long
}
