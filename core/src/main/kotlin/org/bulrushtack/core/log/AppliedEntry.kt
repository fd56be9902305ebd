package org.bulrushtack.core.log

/** A log entry and the result of applying it. */
public data class AppliedEntry(
    val entry: LogEntry,
    val outcome: ApplyOutcome,
)
