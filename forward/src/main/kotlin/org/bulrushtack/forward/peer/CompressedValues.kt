package org.bulrushtack.forward.peer

import com.google.protobuf.ByteString
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.protocol.TopicRecord
import java.util.WeakHashMap
import java.util.zip.DeflaterInputStream
import java.util.zip.InflaterInputStream

/**
 * Writes and reads the values of records. Large ones, as a configuration with many routes, go to many daemons from one:
 * they are compressed once.
 */
internal object CompressedValues {
    private val compressed = WeakHashMap<StoreRecord, ByteString>()

    /** Puts the value of [record] into [message]. */
    fun put(message: TopicRecord.Builder, record: StoreRecord) {
        val value = record.value ?: return
        if (value.size < SMALLEST_BYTES) {
            message.value = ByteString.copyFrom(value)
        } else {
            message.value = compressed.getOrPut(record) { compress(value) }
            message.compressed = true
        }
    }

    /** The value that [message] holds, or null where the key was dropped. */
    fun value(message: TopicRecord): ByteArray? = when {
        message.dropped -> null
        message.compressed -> InflaterInputStream(message.value.newInput()).use { it.readNBytes(LARGEST_BYTES) }
        else -> message.value.toByteArray()
    }

    private fun compress(value: ByteArray): ByteString =
        DeflaterInputStream(value.inputStream()).use { ByteString.readFrom(it) }
}

/** Below this the processor time costs more than the bytes. */
private const val SMALLEST_BYTES = 4_096

/** Some fifty times the configuration of a large site; a record that is larger is cut off and found unreadable. */
private const val LARGEST_BYTES = 16_777_216
