package org.bulrushtack.core.store

/**
 * The newest record of each key of one topic, as far as this process has heard of it. Offsets only grow: a batch from
 * a reader that lags changes nothing, so no process goes back to an older version.
 */
public class TopicReplica {
    private val records = HashMap<String, StoreRecord>()
    private var completeFrom = NOTHING

    /** The offset that follows the last record known, or -1 when nothing is known. */
    public var endOffset: Long = NOTHING
        private set

    /** Takes [batch] over and gives the records that are new. */
    public fun merge(batch: RecordBatch): List<StoreRecord> {
        val dropped = if (batch.complete && batch.endOffset > endOffset) missing(batch) else emptyList()
        val news = (batch.records + dropped).filter { it.offset > (records[it.key]?.offset ?: NOTHING) }
        news.forEach { records[it.key] = it }
        if (batch.complete && completeFrom == NOTHING) completeFrom = batch.endOffset
        endOffset = maxOf(endOffset, batch.endOffset)
        return news
    }

    /** What a peer that knows the topic up to [offset] has missed, or null when that is nothing. */
    public fun since(offset: Long): RecordBatch? = when {
        endOffset == NOTHING || offset >= endOffset -> null
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

private const val NOTHING = -1L
