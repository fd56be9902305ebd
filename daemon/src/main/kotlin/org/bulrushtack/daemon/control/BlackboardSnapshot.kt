package org.bulrushtack.daemon.control

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree

/**
 * An immutable snapshot of the blackboard for threads other than the control thread.
 *
 * @property entryVms the VMs that callers may connect to, this daemon's first unless it is leaving (draining)
 */
data class BlackboardSnapshot(
    val configured: Boolean,
    val leaving: Boolean,
    val tree: SettingsTree,
    val entryVms: List<EntryVm>,
) {
    /** An entry VM and the address of its HTTP listener. */
    data class EntryVm(
        val name: String,
        val address: String,
        val dataCentre: String,
    )

    companion object {
        /** Creates a snapshot of [blackboard] at [nowMillis]. */
        fun of(blackboard: Blackboard, nowMillis: Long): BlackboardSnapshot = BlackboardSnapshot(
            configured = blackboard.log.configured,
            leaving = blackboard.members.leaving,
            tree = blackboard.log.projection.tree,
            entryVms = entryVms(blackboard = blackboard, nowMillis = nowMillis),
        )

        private fun entryVms(blackboard: Blackboard, nowMillis: Long): List<EntryVm> {
            val self = blackboard.identity.name
            val own = if (blackboard.members.leaving) emptyList() else listOf(self)
            return (own + blackboard.members.activeMembers(nowMillis).sorted())
                .mapNotNull { blackboard.members.vms[it] }
                .filter { isIn(tree = blackboard.log.projection.tree, dataCentre = it.dataCentre) }
                .map { EntryVm(name = it.name, address = it.httpAddress, dataCentre = it.dataCentre) }
        }

        private fun isIn(tree: SettingsTree, dataCentre: String): Boolean {
            val path = SettingsPath.ROOT.child(SettingsSchema.DATA_CENTRES).child(dataCentre)
            return tree.resolve(path, SettingsSchema.STATE).value == SettingsSchema.STATE_IN
        }
    }
}
