package org.bulrushtack.core.placement

/** The share of a daemon that places requests of all daemons, beside few others that do so without knowing of it. */
public class LeaderColdStartShare : ColdStartShare {
    override fun requests(id: String, perSecond: Double): Int = maxOf(1, (perSecond * SHARE).toInt())
}

/** After a change of leader two daemons may briefly place requests at once, and others on their own beside them. */
private const val SHARE = 0.3
