package org.bulrushtack.forward.quarantine

import org.bulrushtack.core.request.Backoff
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import kotlin.random.Random

/** Writes crash records to the store one after the other, each again until the store has confirmed it. */
internal class CrashRecordWriter(
    private val store: RecordStore,
    private val thread: ForwardThread,
    private val log: EventLog,
    random: Random = Random.Default,
) {
    private val backoff = Backoff(random = random, firstMillis = FIRST_WAIT_MILLIS, maximumMillis = MAXIMUM_WAIT_MILLIS)
    private val pending = LinkedHashMap<String, ByteArray>()
    private var isWriting = false
    private var failures = 0

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
        failures = 0
        if (pending[key] === value) pending.remove(key)
        writeNext()
    }

    /** The record goes behind the others, so that one which the store doesn't accept holds up none of them. */
    private fun onFailure(key: String, reason: String) {
        pending.remove(key)?.let { pending[key] = it }
        if (failures == 0) {
            log.warn(
                "A report of a crash could not be written; trying again.",
                LogField("key", key),
                LogField("reason", reason),
                LogField("pending", pending.size),
            )
        }
        failures += 1
        thread.schedule(backoff.delayMillis(failures)) { if (!isWriting) writeNext() }
    }
}

/** Well above the crashes that servers can have while the store is down; the oldest give way. */
private const val MAXIMUM_PENDING = 512

/**
 * The waits between tries. A report of a crash has three seconds to reach every daemon once the store is back, of which
 * reading it and passing it on take half.
 */
private const val FIRST_WAIT_MILLIS = 500L
private const val MAXIMUM_WAIT_MILLIS = 1_000L
