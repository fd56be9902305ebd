package org.bulrushtack.core.duty

/**
 * The usage of one window as it is reported.
 *
 * @property counts the requests of each workspace
 * @property sources how many daemons counted any
 */
public data class UsageReport(
    val window: Long,
    val counts: Map<String, Long>,
    val sources: Int,
)
