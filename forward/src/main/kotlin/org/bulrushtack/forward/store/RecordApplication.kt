package org.bulrushtack.forward.store

import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/**
 * Applies the records of one topic with [applyRecord], in the order of their offsets. An unexpected error in one keeps
 * no other one from being applied, and it is tried again until it or a later record of its key is applied.
 */
internal class RecordApplication(
    private val log: EventLog,
    private val applyRecord: (record: StoreRecord, context: UpdateContext) -> Unit,
) {
    private val failed = HashMap<String, StoreRecord>()

    /** Whether no record waits to be applied again. */
    val isComplete: Boolean get() = failed.isEmpty()

    /** Applies [records] and those that failed before. */
    fun apply(records: List<StoreRecord>, context: UpdateContext) = (failed.values + records)
        .associateBy { it.key }.values
        .sortedBy { it.offset }
        .forEach { record ->
            runCatching { applyRecord(record, context) }
                .onSuccess { failed.remove(record.key) }
                .onFailure { recordFailure(record, it) }
        }

    private fun recordFailure(record: StoreRecord, failure: Throwable) {
        val previous = failed.put(record.key, record)
        if (previous?.offset == record.offset) return
        log.error(
            "A record could not be applied.",
            failure,
            LogField("key", record.key),
            LogField("offset", record.offset),
        )
    }
}
