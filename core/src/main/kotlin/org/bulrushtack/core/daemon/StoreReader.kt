package org.bulrushtack.core.daemon

/**
 * The daemon that reads the platform's store for all: the first that may lead placement and can read the store. If none
 * can, it is the first one, so that somebody goes on trying; null if no daemon is ready.
 */
public fun DaemonTable.storeReader(nowMillis: Long): DaemonInfo? = ready(nowMillis).minWithOrNull(READERS_FIRST)

/**
 * The daemons that read in place of the first one in rank, which can't read the store: the one that goes on reading and
 * the next one, which tries once as well since the former may turn out to be no better. Empty in calm.
 */
public fun DaemonTable.substituteReaders(nowMillis: Long): List<DaemonInfo> {
    val ready = ready(nowMillis)
    val isNeeded = ready.minByOrNull { it.rank ?: Long.MAX_VALUE }?.storeUnreadable == true
    return if (isNeeded) ready.filterNot { it.storeUnreadable }.sortedBy { it.rank }.take(SUBSTITUTES) else emptyList()
}

/** Whether the daemon called [name] is one of the [substituteReaders]. */
public fun DaemonTable.isSubstituteReader(name: String, nowMillis: Long): Boolean =
    substituteReaders(nowMillis).any { it.name == name }

/** The number of live daemons, including this one, that can't read the platform's store. */
public fun DaemonTable.storeUnreadableCount(nowMillis: Long): Int =
    (live(nowMillis) + self).count { it.storeUnreadable }

private fun DaemonTable.ready(nowMillis: Long): List<DaemonInfo> = responsive(nowMillis).filter { it.ready }

private val READERS_FIRST = compareBy<DaemonInfo>({ it.storeUnreadable }, { it.rank })
private const val SUBSTITUTES = 2
