package org.bulrushtack.core.store

/**
 * The local replica of one topic: the newest record of each key that has reached this process. Within an era of the
 * store offsets only grow, so a batch from a reader that lags changes nothing and no process returns to an older
 * version. When the store comes back from an older copy, a new era begins, in which offsets are given out again: a
 * replica of the era before takes over the whole topic, and nothing else.
 */
public class TopicReplica {
    private val records = HashMap<String, StoreRecord>()
    private var completeFrom = NO_OFFSET

    /** The offset that follows the last replicated record, or -1 before the first batch. */
    public var endOffset: Long = NO_OFFSET
        private set

    /** The era of the store to which [endOffset] belongs; 0 until it is known. */
    public var era: Long = UNKNOWN_ERA
        private set

    /** Whether records of a later era were met, for which the topic has to be read as a whole. */
    public var needsWhole: Boolean = false
        private set

    /** The era of [batch]; a batch of which it isn't known is of this replica's. */
    public fun eraOf(batch: RecordBatch): Long = batch.era ?: if (batch.isRestored) era + 1 else era

    /** Whether [batch] can be merged; a batch of a later era only as a whole topic, one of an earlier era never. */
    public fun accepts(batch: RecordBatch): Boolean {
        val batchEra = eraOf(batch)
        return batchEra == era || (batchEra > era && batch.complete)
    }

    /**
     * Whether [batch], of a later era, is of a store that came back from an older copy. The first batch is not, nor one
     * that only names the era which wasn't known so far.
     */
    public fun isRestoredBy(batch: RecordBatch): Boolean =
        endOffset != NO_OFFSET && (era != UNKNOWN_ERA || batch.endOffset < endOffset)

    /**
     * Merges [batch] into the replica and returns the newest record of each key that has changed. A key that a complete
     * batch lacks is returned as deleted.
     */
    public fun merge(batch: RecordBatch): List<StoreRecord> {
        val batchEra = eraOf(batch)
        if (batchEra > era && !batch.complete) needsWhole = true
        return when {
            !accepts(batch) -> emptyList()
            batchEra == era -> mergeNewer(batch)
            else -> replace(batch, batchEra)
        }
    }

    /**
     * The records that a peer whose replica ends at [offset] of [peerEra] lacks, or null if there are none. A peer that
     * names no era is taken to be in the same one.
     */
    public fun since(offset: Long, peerEra: Long? = null): RecordBatch? = when {
        endOffset == NO_OFFSET || (peerEra ?: era) > era -> null
        (peerEra ?: era) < era || offset < completeFrom -> RecordBatch(
            records = records.values.filter { it.value != null },
            complete = true,
            endOffset = endOffset,
            era = era,
        )
        offset >= endOffset -> null
        else -> RecordBatch(
            records = records.values.filter { it.offset >= offset },
            complete = false,
            endOffset = endOffset,
            era = era,
        )
    }

    private fun mergeNewer(batch: RecordBatch): List<StoreRecord> {
        val deleted = if (batch.complete && batch.endOffset > endOffset) missing(batch) else emptyList()
        val newest = (batch.records + deleted).sortedBy { it.offset }.associateBy { it.key }.values
        val changed = newest.filter { it.offset > (records[it.key]?.offset ?: NO_OFFSET) }
        changed.forEach { records[it.key] = it }
        if (batch.complete && batch.endOffset > endOffset) completeFrom = batch.endOffset
        endOffset = maxOf(endOffset, batch.endOffset)
        return changed
    }

    private fun replace(batch: RecordBatch, batchEra: Long): List<StoreRecord> {
        val deleted = missing(batch.copy(endOffset = maxOf(batch.endOffset, endOffset)))
        val changed = batch.records.filterNot { isKnown(it) } + deleted
        records.clear()
        batch.records.associateByTo(records) { it.key }
        era = batchEra
        endOffset = batch.endOffset
        completeFrom = batch.endOffset
        needsWhole = false
        return changed
    }

    private fun isKnown(record: StoreRecord): Boolean = records[record.key].let { known ->
        known != null && known.offset == record.offset && known.value.contentEquals(record.value)
    }

    private fun missing(batch: RecordBatch): List<StoreRecord> {
        val present = batch.records.mapTo(HashSet()) { it.key }
        return records.values
            .filter { it.value != null && it.key !in present && it.offset < batch.endOffset }
            .map { StoreRecord(key = it.key, offset = batch.endOffset - 1, value = null) }
    }
}

private const val NO_OFFSET = -1L
private const val UNKNOWN_ERA = 0L
