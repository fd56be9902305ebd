package org.bulrushtack.core.duty

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.leaderCandidates

/** The daemons that may claim the duties, in the order of preference: largest processor share, then lowest rank. */
public fun DaemonTable.dutyCandidates(nowMillis: Long): List<DaemonInfo> = leaderCandidates(nowMillis)
    .sortedWith(compareByDescending<DaemonInfo> { it.capacity }.thenBy { it.rank })

/** The live daemon other than this one that announces the highest fencing token, or null if none announces any. */
public fun DaemonTable.announcedHolder(nowMillis: Long): DaemonInfo? = live(nowMillis)
    .filter { it.dutyToken != null }
    .maxByOrNull { it.dutyToken ?: 0 }
