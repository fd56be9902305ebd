package org.bulrushtack.core.store

/**
 * Records of one topic.
 *
 * @property complete whether [records] holds every key, so that a missing key was deleted
 * @property endOffset the offset that follows the last record that the batch covers
 * @property reachesEnd whether the topic held no later records when it was read; otherwise the batch shows an earlier
 *   state of the topic than that of the time at which it was read
 * @property era the era of the store in which the topic was read, or null if that isn't known
 * @property isRestored whether the topic was found to end before records that were read from it earlier, by a store
 *   that names no era
 */
public data class RecordBatch(
    val records: List<StoreRecord>,
    val complete: Boolean,
    val endOffset: Long,
    val reachesEnd: Boolean = true,
    val era: Long? = null,
    val isRestored: Boolean = false,
)
