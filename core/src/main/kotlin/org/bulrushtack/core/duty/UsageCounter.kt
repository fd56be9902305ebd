package org.bulrushtack.core.duty

import java.util.TreeMap

/** Counts the requests of each workspace that began to run, by window, since the start of this daemon. */
public class UsageCounter(
    private val windows: UsageWindows,
) {
    private val byWindow = TreeMap<Long, HashMap<String, Long>>()

    /** The cumulative counts of each workspace by window. */
    public val counts: Map<Long, Map<String, Long>> get() = byWindow

    /** Counts one request of [workspace] that began to run at [trueTimeMillis]. */
    public fun count(workspace: String, trueTimeMillis: Long) {
        byWindow.getOrPut(windows.at(trueTimeMillis)) { HashMap() }.merge(workspace, 1, Long::plus)
    }

    /** Forgets the windows that no report will be made of any more. */
    public fun forget(trueTimeMillis: Long) {
        byWindow.keys.removeIf { windows.ageMillis(it, trueTimeMillis) > UsageWindows.COUNTS_KEPT_MILLIS }
    }
}
