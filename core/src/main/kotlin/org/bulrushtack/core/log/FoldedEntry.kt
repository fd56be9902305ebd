package org.bulrushtack.core.log

/** An entry and what the fold made of it. */
public data class FoldedEntry(
    val entry: LogEntry,
    val outcome: FoldOutcome,
)
