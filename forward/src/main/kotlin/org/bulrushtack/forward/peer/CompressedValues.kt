package org.bulrushtack.forward.peer

import com.google.protobuf.ByteString
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.protocol.TopicRecord
import java.util.WeakHashMap
import java.util.zip.DeflaterInputStream
import java.util.zip.InflaterInputStream

/**
 * Writes and reads the values of records. A large value, such as a configuration with many routes, goes from one daemon
 * to many, so it is compressed only once.
 */
internal object CompressedValues {
    private val compressed = WeakHashMap<StoreRecord, ByteString>()

    /** Sets the value of [record] in [message]. */
    fun put(message: TopicRecord.Builder, record: StoreRecord) {
        val value = record.value ?: return
        if (value.size < COMPRESSION_THRESHOLD_BYTES) {
            message.value = ByteString.copyFrom(value)
        } else {
            message.value = compressed.getOrPut(record) { compress(value) }
            message.compressed = true
        }
    }

    /** The value that [message] holds, or null when the key was dropped. */
    fun value(message: TopicRecord): ByteArray? = when {
        message.dropped -> null
        message.compressed -> InflaterInputStream(message.value.newInput()).use { it.readNBytes(MAXIMUM_VALUE_BYTES) }
        else -> message.value.toByteArray()
    }

    private fun compress(value: ByteArray): ByteString =
        DeflaterInputStream(value.inputStream()).use { ByteString.readFrom(it) }
}

/** Below this size compression costs more processor time than the saved bytes are worth. */
private const val COMPRESSION_THRESHOLD_BYTES = 4_096

/** About fifty times the configuration of a large site; a larger record is truncated and found unreadable. */
private const val MAXIMUM_VALUE_BYTES = 16_777_216
