package org.bulrushtack.core.log

/**
 * A record with its place in the log.
 *
 * @property offset the place, from 1; also the version, epoch and fencing number of what the record sets
 * @property appendedAtMillis the platform's time of the append, in milliseconds since 1970
 */
public data class LogEntry(
    val offset: Long,
    val appendedAtMillis: Long,
    val record: LogRecord,
)
