package org.bulrushtack.forward.store

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.ranked
import org.bulrushtack.core.daemon.storeReader
import org.bulrushtack.forward.log.LogField

/** Describes in log lines where a daemon gets the store's records from, and what keeps them away. */
internal class KnowledgeSources(
    private val daemons: DaemonTable,
    private val failures: RecentFailures,
) {
    /**
     * Who reads the store for all, whether this daemon can't, the last failures, the time since each daemon was last
     * heard, and the leaders.
     */
    fun fields(nowMillis: Long): List<LogField> = listOf(
        LogField("reader", daemons.storeReader(nowMillis)?.name),
        LogField("unreadable", daemons.self.storeUnreadable),
    ) + failures.fields() + listOf(
        LogField("heard_millis", heard(nowMillis)),
        LogField("leaders", daemons.ranked(nowMillis).take(LEADERS).joinToString(",") { it.name }),
    )

    private fun heard(nowMillis: Long): String = daemons.directContacts(nowMillis)
        .sortedBy { it.daemon.name }
        .take(MAXIMUM_NAMES)
        .joinToString(",") { "${it.daemon.name}=${nowMillis - it.lastSeenAtMillis}" }
}

private const val LEADERS = 2

/** The most daemons that one log line names. */
private const val MAXIMUM_NAMES = 8
