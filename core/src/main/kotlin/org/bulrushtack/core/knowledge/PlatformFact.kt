package org.bulrushtack.core.knowledge

import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.route.RoutingConfiguration

/** What a record in the platform's store means. */
public sealed interface PlatformFact {
    /** A new version of the operators' configuration. */
    public data class Configuration(val configuration: RoutingConfiguration) : PlatformFact

    /** A data centre is taken out or brought back. */
    public data class DataCentre(val name: String, val takenOut: Boolean) : PlatformFact

    /** A backend server's entry is new or has changed. */
    public data class ServerListed(val entry: BackendServerEntry) : PlatformFact

    /** The entry of the backend server with this id is gone. */
    public data class ServerDropped(val id: String) : PlatformFact

    /** The record can't be used; [id] is the backend server that it must no longer stand for, or null. */
    public data class Unreadable(val reason: String, val id: String?) : PlatformFact

    /** The record says nothing that daemons act on. */
    public data object Irrelevant : PlatformFact
}
