package org.bulrushtack.standin.platform

import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.standin.StandInServer

/** A list of VMs that shows each change only after [lagMillis]. */
internal class LaggingVmList(
    private val lagMillis: Long,
) {
    private val versions = ArrayDeque<Version>().apply { addLast(Version(sinceMillis = 0, rows = emptyMap())) }

    /** Adds a VM or replaces its row. */
    @Synchronized
    fun put(row: ObjectNode, nowMillis: Long) {
        versions.addLast(Version(sinceMillis = nowMillis, rows = versions.last().rows + (row["name"].asText() to row)))
    }

    /** Takes a VM out of the list. */
    @Synchronized
    fun remove(name: String, nowMillis: Long) {
        versions.addLast(Version(sinceMillis = nowMillis, rows = versions.last().rows - name))
    }

    /** The list as it was [lagMillis] ago. */
    @Synchronized
    fun shown(nowMillis: Long): ObjectNode {
        val visible = versions.lastOrNull { it.sinceMillis <= nowMillis - lagMillis } ?: versions.first()
        while (versions.first() !== visible) versions.removeFirst()
        return message(visible)
    }

    /** The list without its lag. */
    @Synchronized
    fun current(): ObjectNode = message(versions.last())

    private fun message(version: Version): ObjectNode {
        val message = StandInServer.mapper.createObjectNode()
        message.putArray("vms").addAll(version.rows.values)
        return message
    }

    private data class Version(
        val sinceMillis: Long,
        val rows: Map<String, ObjectNode>,
    )
}
