package org.bulrushtack.core.server

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.membership.VmKind
import org.bulrushtack.core.membership.VmState
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema

/** Looks up backend servers, their memory, and whether they accept new work. */
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

    /** The engines that serve [model], whether they accept new work or not. */
    public fun engines(model: String): List<BackendServer> = index.serving(kind = VmKind.ENGINE, name = model)

    /** The backend servers of the plain service [service]. */
    public fun servers(service: String): List<BackendServer> = index.serving(kind = VmKind.SERVICE, name = service)

    /** Whether the VM list and the settings tree allow new work on [server]. */
    public fun acceptsNewWork(server: BackendServer): Boolean {
        val dataCentre = SettingsPath.ROOT.child(SettingsSchema.DATA_CENTRES).child(server.vm.dataCentre)
        return server.vm.state == VmState.LIVE && isEnabled(dataCentre) && isEnabled(BackendServer.path(server.name))
    }

    /** The memory of an engine in tokens, as reported by the engine or by its owner, or null while it isn't known. */
    public fun capacityTokens(server: String): Long? {
        val listedTokens = blackboard.ledgers.find(server)?.takeIf { it.listed }?.capacityTokens
        val reportedTokens = listedTokens ?: blackboard.members.loads[server]?.load?.capacityTokens
        return reportedTokens?.takeIf { it > 0 }
    }

    private fun isEnabled(path: SettingsPath): Boolean =
        blackboard.log.projection.tree.resolve(path, SettingsSchema.STATE).value == SettingsSchema.STATE_IN
}
