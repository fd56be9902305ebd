package org.bulrushtack.core.server

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.membership.VmKind
import org.bulrushtack.core.membership.VmState
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema

/** Looks up backend servers, what they hold, and whether they may get new work. */
public class BackendServerDirectory(
    private val blackboard: Blackboard,
) {
    /** The owners of the backend servers. */
    public val owners: OwnerDirectory = OwnerDirectory(blackboard = blackboard)

    private val index = BackendServerIndex(blackboard = blackboard)

    /** All backend servers. */
    public fun all(): Collection<BackendServer> = index.byName().values

    /** The backend server [name], or null. */
    public fun find(name: String): BackendServer? = index.byName()[name]

    /** The engines that serve [model], whether they take new work or not. */
    public fun engines(model: String): List<BackendServer> = index.serving(kind = VmKind.ENGINE, name = model)

    /** The backend servers of the plain service [service]. */
    public fun servers(service: String): List<BackendServer> = index.serving(kind = VmKind.SERVICE, name = service)

    /** Whether [server] may get new work, by the VM list and the settings tree. */
    public fun acceptsNewWork(server: BackendServer): Boolean {
        val dataCentre = SettingsPath.ROOT.child(SettingsSchema.DATA_CENTRES).child(server.vm.dataCentre)
        return server.vm.state == VmState.LIVE && isIn(dataCentre) && isIn(BackendServer.path(server.name))
    }

    /** The memory of an engine in tokens, by its own word or its owner's, or null while it isn't known. */
    public fun capacityTokens(server: String): Long? {
        val own = blackboard.ledgers.find(server)?.takeIf { it.listed }?.capacityTokens
        val known = own ?: blackboard.members.loads[server]?.load?.capacityTokens
        return known?.takeIf { it > 0 }
    }

    private fun isIn(path: SettingsPath): Boolean =
        blackboard.log.projection.tree.resolve(path, SettingsSchema.STATE).value == SettingsSchema.STATE_IN
}
