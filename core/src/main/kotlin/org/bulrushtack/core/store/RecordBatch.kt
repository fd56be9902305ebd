package org.bulrushtack.core.store

/**
 * Records of one topic.
 *
 * @property complete whether [records] holds every key, so that a missing key was deleted
 * @property endOffset the offset that follows the last record that the batch covers
 * @property reachesEnd whether the topic held no later records when it was read; otherwise the batch shows an earlier
 *   state of the topic than that of the time at which it was read
 */
public data class RecordBatch(
    val records: List<StoreRecord>,
    val complete: Boolean,
    val endOffset: Long,
    val reachesEnd: Boolean = true,
)
