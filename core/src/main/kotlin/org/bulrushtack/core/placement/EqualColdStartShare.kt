package org.bulrushtack.core.placement

import org.bulrushtack.core.ownership.RendezvousHash

/**
 * The share of one of several daemons that each select servers on their own. All shares add up to the server's rate:
 * what can't be divided equally goes to some of the daemons, which differ from server to server.
 *
 * @param self the name of this daemon among [daemons]
 * @param daemons the names of all known daemons, live or not
 */
public class EqualColdStartShare(
    private val self: String,
    private val daemons: () -> Set<String>,
) : ColdStartShare {
    override fun requests(id: String, perSecond: Double): Int {
        val known = daemons() + self
        val total = perSecond.toInt()
        val remainder = total % known.size
        val getsRemainder = remainder > 0 && RendezvousHash.rank(key = id, name = self, candidates = known) < remainder
        return total / known.size + if (getsRemainder) 1 else 0
    }
}
