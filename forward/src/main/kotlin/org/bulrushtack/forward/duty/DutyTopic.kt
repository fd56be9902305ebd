package org.bulrushtack.forward.duty

import arrow.core.Either
import org.bulrushtack.core.duty.HolderClaim
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.store.AppendOutcome
import org.bulrushtack.core.store.KeyedValue
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread

/**
 * The topic of duties in the platform's store as this daemon last read or wrote it. Every write is made on the
 * condition that the topic still ends where this daemon knows it to end; after any other result than success the topic
 * has to be read before the next write.
 */
internal class DutyTopic(
    private val store: RecordStore,
    private val thread: ForwardThread,
) {
    private var endOffset = UNKNOWN_OFFSET
    private var isWriting = false

    /** The newest record of each key. */
    var records: Map<String, StoreRecord> = emptyMap()
        private set

    /** Whether the topic has to be read before the next write. */
    var needsRead: Boolean = true
        private set

    /** When the first of the calls was sent that have all failed since, or null if the last one succeeded. */
    var failingSinceMillis: Long? = null
        private set

    /** The newest claim, or null if there is none. */
    val claim: HolderClaim? get() = records[HolderClaimCodec.KEY]?.let { HolderClaimCodec.decode(it) }

    /** Whether [append] may be called now. */
    val canWrite: Boolean get() = !isWriting && !needsRead

    /** Reads the topic; [onDone] gets whether that succeeded, in the turn of the event loop in which the reply came. */
    fun read(onDone: (succeeded: Boolean) -> Unit) {
        val sentAtMillis = thread.nowMillis()
        thread.whenDoneInTurn(store.newest(StoreTopic.DUTIES)) { reply, _ ->
            val batch = reply?.getOrNull()
            recordOutcome(succeeded = batch != null, sentAtMillis)
            if (batch != null) merge(batch)
            onDone(batch != null)
        }
    }

    /** Writes [written] together; only where [canWrite]. */
    fun append(written: List<KeyedValue>, onDone: (DutyWriteResult) -> Unit) {
        check(canWrite) { "a write is in flight, or the end of the topic is not known" }
        val expectedEnd = endOffset
        val sentAtMillis = thread.nowMillis()
        isWriting = true
        // The topic's first offset is 0, which stands for no token between daemons; a record without a value takes it.
        val filler = if (expectedEnd == 0L) listOf(KeyedValue(FILLER_KEY, ByteArray(0))) else emptyList()
        val all = filler + written
        thread.whenDoneInTurn(store.append(StoreTopic.DUTIES, all, expectedEnd)) { reply, _ ->
            isWriting = false
            recordOutcome(succeeded = reply?.isRight() == true, sentAtMillis)
            onDone(onReply(reply, all, expectedEnd))
        }
    }

    private fun onReply(
        reply: Either<PlatformFailure, AppendOutcome>?,
        written: List<KeyedValue>,
        expectedEnd: Long,
    ): DutyWriteResult {
        val outcome = reply?.getOrNull()
        val result = when (outcome) {
            is AppendOutcome.Appended ->
                if (outcome.firstOffset == expectedEnd) DutyWriteResult.STORED else DutyWriteResult.UNKNOWN
            AppendOutcome.EndMoved -> DutyWriteResult.END_MOVED
            null -> DutyWriteResult.UNKNOWN
        }
        if (result == DutyWriteResult.STORED) apply(written, expectedEnd) else needsRead = true
        return result
    }

    /** A read that overtook a write of this daemon has seen less than is known. */
    private fun merge(batch: RecordBatch) {
        if (batch.endOffset < endOffset) return
        endOffset = batch.endOffset
        records = batch.records.filter { it.value != null }.associateBy { it.key }
        needsRead = false
    }

    private fun apply(written: List<KeyedValue>, firstOffset: Long) {
        if (endOffset >= firstOffset + written.size) return
        val changed = records.toMutableMap()
        written.forEachIndexed { index, record ->
            if (record.value.isEmpty()) {
                changed.remove(record.key)
            } else {
                changed[record.key] = StoreRecord(record.key, firstOffset + index, record.value)
            }
        }
        records = changed
        endOffset = firstOffset + written.size
    }

    private fun recordOutcome(succeeded: Boolean, sentAtMillis: Long) {
        failingSinceMillis = if (succeeded) null else failingSinceMillis ?: sentAtMillis
        if (!succeeded) needsRead = true
    }
}

private const val UNKNOWN_OFFSET = -1L
private const val FILLER_KEY = "start"
