package org.bulrushtack.forward.quarantine

import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** Writes crash records to the store one after the other, each again until the store has confirmed it. */
internal class CrashRecordWriter(
    private val store: RecordStore,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    private val pending = LinkedHashMap<String, ByteArray>()
    private var isWriting = false
    private var isFailing = false

    /** Writes [record]; one with the same key that was not written yet is replaced. */
    fun write(record: CrashRecord) = enqueue(record.key, record.value)

    /** Deletes the record of [key]. */
    fun delete(key: String) = enqueue(key, ByteArray(0))

    private fun enqueue(key: String, value: ByteArray) {
        pending[key] = value
        while (pending.size > MAXIMUM_PENDING) pending.remove(pending.keys.first())
        if (!isWriting) writeNext()
    }

    private fun writeNext() {
        val next = pending.entries.firstOrNull() ?: return
        val (key, value) = next.key to next.value
        isWriting = true
        thread.whenDone(store.put(topic = StoreTopic.CRASHES, key = key, value = value)) { result, failure ->
            isWriting = false
            val reason = failure?.toString() ?: result?.leftOrNull()?.reason
            if (reason == null) onWritten(key, value) else onFailure(key, reason)
        }
    }

    private fun onWritten(key: String, value: ByteArray) {
        isFailing = false
        if (pending[key] === value) pending.remove(key)
        writeNext()
    }

    /** The record goes behind the others, so that one which the store doesn't accept holds up none of them. */
    private fun onFailure(key: String, reason: String) {
        pending.remove(key)?.let { pending[key] = it }
        if (!isFailing) {
            log.warn(
                "A report of a crash could not be written; trying again.",
                LogField("key", key),
                LogField("reason", reason),
                LogField("pending", pending.size),
            )
        }
        isFailing = true
        thread.schedule(RETRY_DELAY_MILLIS) { if (!isWriting) writeNext() }
    }
}

/** Well above the crashes that servers can have while the store is down; the oldest give way. */
private const val MAXIMUM_PENDING = 512
private const val RETRY_DELAY_MILLIS = 500L
