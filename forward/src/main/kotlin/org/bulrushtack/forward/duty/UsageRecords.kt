package org.bulrushtack.forward.duty

import org.bulrushtack.core.duty.UsageReport
import org.bulrushtack.core.duty.UsageSnapshot
import org.bulrushtack.core.store.KeyedValue
import org.bulrushtack.forward.wire.DutyCall
import org.bulrushtack.forward.wire.DutyCodec

/** The records of usage in the topic of duties: the bytes of each report that was made, and the collected counts. */
internal class UsageRecords(
    private val topic: DutyTopic,
    private val codec: DutyCodec,
) {
    /** The windows of which the store holds a report. */
    val storedWindows: Set<Long> get() = topic.records.keys.mapNotNullTo(sortedSetOf()) { windowOf(it) }

    /** What the last holder has saved, or null if that is nothing or can't be read. */
    val snapshot: UsageSnapshot? get() = topic.records[COUNTS_KEY]?.value?.let { UsageSnapshotCodec.decode(it) }

    /** The call that sends the stored report of [window], byte by byte, or null if the store holds none. */
    fun call(window: Long): DutyCall? = topic.records[reportKey(window)]?.value?.let { body ->
        DutyCall(path = codec.usage(window, emptyMap()).path, body = body)
    }

    /** The record that stores [report]. */
    fun record(report: UsageReport): KeyedValue =
        KeyedValue(reportKey(report.window), codec.usage(report.window, report.counts).body)

    /** The record that drops the report of [window]. */
    fun drop(window: Long): KeyedValue = KeyedValue(reportKey(window), ByteArray(0))

    /** The record that saves [snapshot], or null if it is too large for the store. */
    fun record(snapshot: UsageSnapshot): KeyedValue? {
        val bytes = UsageSnapshotCodec.encode(snapshot)
        return if (bytes.size <= MAXIMUM_RECORD_BYTES) KeyedValue(COUNTS_KEY, bytes) else null
    }

    private fun reportKey(window: Long) = "$REPORT_PREFIX$window"

    private fun windowOf(key: String): Long? =
        if (key.startsWith(REPORT_PREFIX)) key.removePrefix(REPORT_PREFIX).toLongOrNull() else null
}

private const val REPORT_PREFIX = "report/"
private const val COUNTS_KEY = "counts"

/** The store takes 262,144 bytes with the key. */
private const val MAXIMUM_RECORD_BYTES = 262_000
