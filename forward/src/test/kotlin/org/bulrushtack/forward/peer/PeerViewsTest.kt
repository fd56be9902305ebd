package org.bulrushtack.forward.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest

/**
 * Guards against a daemon that stops without notice but counts as live for ever: the two leaders that all daemons sync
 * with report it to each other, and each takes the report of the other for a newer one.
 */
class PeerViewsTest : AnnotationSpec() {
    private fun info(name: String, rank: Long) =
        DaemonInfo(name, "life", "a", "$name:7340", "$name:80", rank, ready = true, leaving = false)

    private class Member(info: DaemonInfo) {
        val table = DaemonTable(info)
        val views = PeerViews(table)

        /** Runs one sync that this member starts with [other]. */
        fun syncWith(other: Member, nowMillis: Long) {
            val address = other.table.self.peerAddress
            val request = SyncRequest.newBuilder().also { views.addTo(it, address) }.build()
            other.table.observe(table.self, nowMillis, direct = true)
            val reply = SyncReply.newBuilder()
                .setSender(DaemonMessages.toWire(other.table.self, ageMillis = 0))
                .also { other.views.addTo(it, request, nowMillis) }
                .build()
            table.observe(other.table.self, nowMillis, direct = true)
            views.applyReply(address, reply, nowMillis).forEach { table.observe(it, nowMillis, direct = false) }
        }
    }

    @Test
    fun `two daemons that report a third to each other don't keep it live after it stops`() {
        val first = Member(info("vm-1", rank = 1))
        val second = Member(info("vm-2", rank = 2))
        val third = Member(info("vm-3", rank = 3))
        val fourth = Member(info("vm-4", rank = 4))
        (0L..8_000L step 400L).forEach { nowMillis ->
            val syncing = if (nowMillis < 2_000) listOf(third, fourth) else listOf(fourth)
            syncing.forEach { member -> listOf(first, second).forEach { member.syncWith(it, nowMillis) } }
            first.syncWith(second, nowMillis)
            second.syncWith(first, nowMillis)
            listOf(first, second, fourth).forEach { it.table.expire(nowMillis) }
            if (nowMillis == 1_600L) fourth.table.isLive("vm-3", nowMillis) shouldBe true
        }

        listOf(first, second, fourth).map { it.table.isLive("vm-3", nowMillis = 8_000) } shouldBe
            listOf(false, false, false)
        fourth.table.live(nowMillis = 8_000).map { it.name }.toSet() shouldBe setOf("vm-1", "vm-2")
    }
}
