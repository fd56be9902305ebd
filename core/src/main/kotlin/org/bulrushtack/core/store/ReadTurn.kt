package org.bulrushtack.core.store

import org.bulrushtack.core.daemon.DaemonTable

/**
 * The place of this daemon among the live ones that take turns at reading the store while nobody can.
 *
 * @property index the place in the order of rank, from 0
 * @property count the number of live daemons
 */
public data class ReadTurn(
    val index: Int,
    val count: Int,
)

/** The turn of this daemon among the live ones at [nowMillis]; those without a rank follow, by name. */
public fun DaemonTable.readTurn(nowMillis: Long): ReadTurn {
    val order = (live(nowMillis) + self).sortedWith(compareBy({ it.rank ?: Long.MAX_VALUE }, { it.name }))
    return ReadTurn(index = order.indexOfFirst { it.name == self.name }, count = order.size)
}
