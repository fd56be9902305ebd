package org.bulrushtack.forward.placement

import org.bulrushtack.core.daemon.leaderCandidates
import org.bulrushtack.forward.store.ForwardState

/**
 * Whether this daemon knows the placements of all daemons: it does when it has been the placement leader for long
 * enough to have had their reports.
 */
internal class PlacementKnowledge(
    private val state: ForwardState,
) {
    private var leaderSinceMillis: Long? = null

    /** Whether this daemon is the placement leader, as it was when last looked at. */
    val isLeader: Boolean get() = leaderSinceMillis != null

    /** Looks whether this daemon is the placement leader. */
    fun tick(nowMillis: Long) {
        val leader = state.daemons.leaderCandidates(nowMillis).firstOrNull()
        val leads = leader?.name == state.daemons.self.name
        leaderSinceMillis = if (leads) leaderSinceMillis ?: nowMillis else null
    }

    /** Whether all placements are known at [nowMillis]. */
    fun isComplete(nowMillis: Long): Boolean = state.startupGracePeriod.isOver(nowMillis) &&
        leaderSinceMillis.let { it != null && nowMillis - it >= LEARNING_MILLIS }
}

/** Two syncs of every ingress daemon, and the time limit of one. */
private const val LEARNING_MILLIS = 1_200L
