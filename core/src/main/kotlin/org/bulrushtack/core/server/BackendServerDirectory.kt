package org.bulrushtack.core.server

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.membership.VmKind
import org.bulrushtack.core.membership.VmRecord
import org.bulrushtack.core.membership.VmState
import org.bulrushtack.core.ownership.RendezvousHash
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree

/** Looks up backend servers and their owners from the VM list, the settings tree and the members. */
public class BackendServerDirectory(
    private val blackboard: Blackboard,
) {
    private var indexedVms: Map<String, VmRecord>? = null
    private var indexedTree: SettingsTree? = null
    private var byName: Map<String, BackendServer> = emptyMap()
    private var byServed: Map<Served, List<BackendServer>> = emptyMap()

    /** All backend servers. */
    public fun all(): Collection<BackendServer> = index().values

    /** The backend server [name], or null. */
    public fun find(name: String): BackendServer? = index()[name]

    /** The engines that serve [model], whether they take new work or not. */
    public fun engines(model: String): List<BackendServer> = serving(kind = VmKind.ENGINE, name = model)

    /** The backend servers of the plain service [service]. */
    public fun servers(service: String): List<BackendServer> = serving(kind = VmKind.SERVICE, name = service)

    /** Whether [server] may get new work, by the VM list and the settings tree. */
    public fun acceptsNewWork(server: BackendServer): Boolean {
        val tree = blackboard.log.folder.tree
        val dataCentre = SettingsPath.ROOT.child(SettingsSchema.DATA_CENTRES).child(server.vm.dataCentre)
        return server.vm.state == VmState.LIVE && isIn(tree, dataCentre) && isIn(tree, BackendServer.path(server.name))
    }

    /** The daemon that should own [server]: one of its data centre while one lives there, by rendezvous hash. */
    public fun bestOwner(server: BackendServer, nowMillis: Long): String? {
        val identity = blackboard.identity
        val staying = blackboard.members.stayingMembers(nowMillis)
        val candidates = if (blackboard.members.leaving) staying else staying + identity.name
        val near = candidates.filter { dataCentreOf(it) == server.vm.dataCentre }
        return RendezvousHash.choose(key = server.name, candidates = near.ifEmpty { candidates })
    }

    /** The daemon that takes work for [server] now: the recorded owner while it lives, else its expected successor. */
    public fun currentOwner(server: BackendServer, nowMillis: Long): String? {
        val recorded = blackboard.log.folder.owner(server.name)?.owner
        if (recorded != null && isLive(name = recorded, nowMillis = nowMillis)) return recorded
        return bestOwner(server = server, nowMillis = nowMillis)
    }

    /** Where the daemon [name] takes work from its peers; empty for this daemon. */
    public fun ownerAddress(name: String): String =
        if (name == blackboard.identity.name) "" else blackboard.members.vms[name]?.peerAddress.orEmpty()

    private fun isLive(name: String, nowMillis: Long): Boolean =
        name == blackboard.identity.name || blackboard.members.isLive(name = name, nowMillis = nowMillis)

    private fun dataCentreOf(daemon: String): String? = when (daemon) {
        blackboard.identity.name -> blackboard.identity.dataCentre
        else -> blackboard.members.vms[daemon]?.dataCentre
    }

    private fun isIn(tree: SettingsTree, path: SettingsPath): Boolean =
        tree.resolve(path, SettingsSchema.STATE).value == SettingsSchema.STATE_IN

    private fun serving(kind: VmKind, name: String): List<BackendServer> {
        index()
        return byServed[Served(kind = kind, name = name)].orEmpty()
    }

    private fun index(): Map<String, BackendServer> {
        val vms = blackboard.members.vms
        val tree = blackboard.log.folder.tree
        if (vms === indexedVms && tree === indexedTree) return byName
        indexedVms = vms
        indexedTree = tree
        byName = vms.values.filter { it.kind != VmKind.ENTRY }.associate { vm ->
            vm.name to BackendServer(vm = vm, settings = ServerSettings.read(tree, BackendServer.path(vm.name)))
        }
        byServed = byName.values
            .flatMap { server -> server.vm.serves.map { Served(kind = server.vm.kind, name = it) to server } }
            .groupBy(keySelector = { it.first }, valueTransform = { it.second })
        return byName
    }

    private data class Served(
        val kind: VmKind,
        val name: String,
    )
}
