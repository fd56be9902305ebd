package org.bulrushtack.core.platform

import org.bulrushtack.core.log.LogEntry

/**
 * A page of consecutive log entries.
 *
 * @property tailOffset the last offset of the whole log at the time of the response
 * @property earliestOffset the first offset that is still kept
 */
public data class LogPage(
    val entries: List<LogEntry>,
    val tailOffset: Long,
    val earliestOffset: Long,
)
