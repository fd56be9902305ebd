package org.bulrushtack.core.duty

/**
 * What a holder of the duties saves for the next one.
 *
 * @property settledThrough no new report is made of this window or an earlier one
 * @property accepted the windows whose report the platform has accepted
 * @property counts the counts by daemon incarnation, window and workspace
 */
public data class UsageSnapshot(
    val settledThrough: Long,
    val accepted: Set<Long>,
    val counts: Map<String, Map<Long, Map<String, Long>>>,
)
