package org.bulrushtack.core.scaling

import kotlin.math.ceil

/**
 * A number of servers and what it consists of, in engines.
 *
 * @property demand the engines for the work that arrives
 * @property waiting the engines for the work that waits
 * @property reserve the engines for a burst or the loss of servers, beyond [demand]
 * @property floor the engines that the longest usual prompt needs at once
 */
public data class ServerNumber(
    val demand: Double,
    val waiting: Double,
    val reserve: Double,
    val floor: Int,
) {
    /** The number of servers. */
    public val total: Int get() = number(reserve)

    /** The number below which servers are ordered: a part of the reserve is in use. */
    public val least: Int get() = number(reserve * RESERVE_KEPT)

    private fun number(reserve: Double): Int =
        maxOf(floor, ceil(demand + waiting + reserve).coerceIn(0.0, Int.MAX_VALUE.toDouble()).toInt())
}

/**
 * The reserve is there to be used: ordering at its first use bills servers for their boot that come when the burst is
 * over (2,152 engine seconds a day against 2,118 in the trials of docs/design/scaling.md, with the same worth).
 */
private const val RESERVE_KEPT = 0.5
