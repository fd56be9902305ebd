package org.bulrushtack.core.log

/**
 * A record with its offset in the log.
 *
 * @property offset the offset, counted from 1; also the version, epoch or fencing number of what the record sets
 * @property appendedAtMillis the time of the append by the platform's clock, in milliseconds since 1970
 */
public data class LogEntry(
    val offset: Long,
    val appendedAtMillis: Long,
    val record: LogRecord,
)
