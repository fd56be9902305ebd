package org.bulrushtack.core.server

import org.bulrushtack.core.membership.VmKind
import org.bulrushtack.core.membership.VmRecord
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema

/** A model engine or the server of a plain service. */
public data class BackendServer(
    val vm: VmRecord,
    val settings: ServerSettings,
) {
    val name: String get() = vm.name

    val isEngine: Boolean get() = vm.kind == VmKind.ENGINE

    public companion object {
        /** The branch of the settings tree for the backend server [name]. */
        public fun path(name: String): SettingsPath =
            SettingsPath.ROOT.child(SettingsSchema.BACKEND_SERVERS).child(name)
    }
}
