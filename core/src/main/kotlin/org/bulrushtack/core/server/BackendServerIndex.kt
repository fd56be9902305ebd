package org.bulrushtack.core.server

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.membership.VmKind
import org.bulrushtack.core.membership.VmRecord
import org.bulrushtack.core.settings.SettingsTree

/** Indexes backend servers by name and by what they serve; rebuilt when the VM list or the tree has changed. */
internal class BackendServerIndex(
    private val blackboard: Blackboard,
) {
    private var vms: Map<String, VmRecord>? = null
    private var tree: SettingsTree? = null
    private var byName: Map<String, BackendServer> = emptyMap()
    private var byServed: Map<ServedName, List<BackendServer>> = emptyMap()

    /** All backend servers by name. */
    fun byName(): Map<String, BackendServer> {
        refresh()
        return byName
    }

    /** The backend servers of one kind that serve [name]. */
    fun serving(kind: VmKind, name: String): List<BackendServer> {
        refresh()
        return byServed[ServedName(kind = kind, name = name)].orEmpty()
    }

    private fun refresh() {
        if (blackboard.members.vms === vms && blackboard.log.projection.tree === tree) return
        vms = blackboard.members.vms
        tree = blackboard.log.projection.tree
        byName = blackboard.members.vms.values.filter { it.kind != VmKind.ENTRY }.associate { vm ->
            val settings = ServerSettings.read(blackboard.log.projection.tree, BackendServer.path(vm.name))
            vm.name to BackendServer(vm = vm, settings = settings)
        }
        byServed = byName.values
            .flatMap { server -> server.vm.serves.map { ServedName(kind = server.vm.kind, name = it) to server } }
            .groupBy(keySelector = { it.first }, valueTransform = { it.second })
    }

    private data class ServedName(
        val kind: VmKind,
        val name: String,
    )
}
