package org.bulrushtack.core.store

/**
 * The local replica of one topic: the newest record of each key that has reached this process. Offsets only grow, so
 * a batch from a reader that lags changes nothing and no process returns to an older version.
 */
public class TopicReplica {
    private val records = HashMap<String, StoreRecord>()
    private var completeFrom = NO_OFFSET

    /** The offset that follows the last replicated record, or -1 before the first batch. */
    public var endOffset: Long = NO_OFFSET
        private set

    /** Merges [batch] into the replica and returns the newest record of each key that has changed. */
    public fun merge(batch: RecordBatch): List<StoreRecord> {
        val deleted = if (batch.complete && batch.endOffset > endOffset) missing(batch) else emptyList()
        val newest = (batch.records + deleted).sortedBy { it.offset }.associateBy { it.key }.values
        val changed = newest.filter { it.offset > (records[it.key]?.offset ?: NO_OFFSET) }
        changed.forEach { records[it.key] = it }
        if (batch.complete && completeFrom == NO_OFFSET) completeFrom = batch.endOffset
        endOffset = maxOf(endOffset, batch.endOffset)
        return changed
    }

    /** The records that a peer whose replica ends at [offset] lacks, or null if there are none. */
    public fun since(offset: Long): RecordBatch? = when {
        endOffset == NO_OFFSET || offset >= endOffset -> null
        offset < completeFrom -> RecordBatch(
            records = records.values.filter { it.value != null },
            complete = true,
            endOffset = endOffset,
        )
        else -> RecordBatch(
            records = records.values.filter { it.offset >= offset },
            complete = false,
            endOffset = endOffset,
        )
    }

    private fun missing(batch: RecordBatch): List<StoreRecord> {
        val present = batch.records.mapTo(HashSet()) { it.key }
        return records.values
            .filter { it.value != null && it.key !in present && it.offset < batch.endOffset }
            .map { StoreRecord(key = it.key, offset = batch.endOffset - 1, value = null) }
    }
}

private const val NO_OFFSET = -1L
