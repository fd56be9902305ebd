package org.bulrushtack.core.store

/**
 * Records of one topic.
 *
 * @property complete whether [records] holds every key, so that a missing key was deleted
 * @property endOffset the offset that follows the last record that the batch covers
 */
public data class RecordBatch(
    val records: List<StoreRecord>,
    val complete: Boolean,
    val endOffset: Long,
)
