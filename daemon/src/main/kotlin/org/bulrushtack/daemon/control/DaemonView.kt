package org.bulrushtack.daemon.control

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree

/**
 * What threads other than the control thread may know of the daemon's state.
 *
 * @property entries where callers may connect, this daemon first unless it is leaving
 */
data class DaemonView(
    val configured: Boolean,
    val leaving: Boolean,
    val tree: SettingsTree,
    val entries: List<Entry>,
) {
    /** One entry VM. */
    data class Entry(
        val name: String,
        val address: String,
        val dataCentre: String,
    )

    companion object {
        /** The view of [blackboard] at [nowMillis]. */
        fun of(blackboard: Blackboard, nowMillis: Long): DaemonView = DaemonView(
            configured = blackboard.log.configured,
            leaving = blackboard.members.leaving,
            tree = blackboard.log.projection.tree,
            entries = entries(blackboard = blackboard, nowMillis = nowMillis),
        )

        private fun entries(blackboard: Blackboard, nowMillis: Long): List<Entry> {
            val self = blackboard.identity.name
            val own = if (blackboard.members.leaving) emptyList() else listOf(self)
            return (own + blackboard.members.activeMembers(nowMillis).sorted())
                .mapNotNull { blackboard.members.vms[it] }
                .filter { isIn(tree = blackboard.log.projection.tree, dataCentre = it.dataCentre) }
                .map { Entry(name = it.name, address = it.httpAddress, dataCentre = it.dataCentre) }
        }

        private fun isIn(tree: SettingsTree, dataCentre: String): Boolean {
            val path = SettingsPath.ROOT.child(SettingsSchema.DATA_CENTRES).child(dataCentre)
            return tree.resolve(path, SettingsSchema.STATE).value == SettingsSchema.STATE_IN
        }
    }
}
