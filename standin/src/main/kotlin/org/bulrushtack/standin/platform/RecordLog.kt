package org.bulrushtack.standin.platform

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.standin.StandInServer

/** An append-only log in memory; offsets begin with 1, and records expire. */
internal class RecordLog(
    private val retentionMillis: Long,
) {
    private val entries = ArrayDeque<Entry>()

    @Volatile
    private var tailOffset = 0L

    /** The last offset that was given. */
    fun tail(): Long = tailOffset

    /** Appends all of [records] and gives the last offset. */
    @Synchronized
    fun append(records: List<JsonNode>, nowMillis: Long): Long {
        records.forEach { record ->
            entries.addLast(Entry(offset = tailOffset + 1, appendedAtMillis = nowMillis, record = record))
            tailOffset++
        }
        return tailOffset
    }

    /** The entries from [from] on, at most [limit]. */
    @Synchronized
    fun page(from: Long, limit: Int, nowMillis: Long): ObjectNode {
        val expiredMillis = nowMillis - retentionMillis
        while (entries.isNotEmpty() && entries.first().appendedAtMillis < expiredMillis) entries.removeFirst()
        val earliest = entries.firstOrNull()?.offset ?: (tailOffset + 1)
        val start = maxOf(0, from - earliest).toInt()
        val page = StandInServer.mapper.createObjectNode().put("tail", tailOffset).put("earliest", earliest)
        val rows = page.putArray("entries")
        for (index in start until minOf(entries.size, start + limit)) {
            val entry = entries[index]
            val row = rows.addObject().put("offset", entry.offset).put("appendedAtMillis", entry.appendedAtMillis)
            row.set<ObjectNode>("record", entry.record)
        }
        return page
    }

    private data class Entry(
        val offset: Long,
        val appendedAtMillis: Long,
        val record: JsonNode,
    )
}
