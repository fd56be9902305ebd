package org.bulrushtack.core.store

import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.route.RoutingConfiguration

/** What a record in the platform's store means. */
public sealed interface StoreUpdate {
    /** A new version of the operators' configuration. */
    public data class Configuration(val configuration: RoutingConfiguration) : StoreUpdate

    /** A data centre is taken out or brought back. */
    public data class DataCentre(val name: String, val takenOut: Boolean) : StoreUpdate

    /** A backend server's entry is new or has changed. */
    public data class ServerListed(val entry: BackendServerEntry) : StoreUpdate

    /** The entry of the backend server with this id is gone. */
    public data class ServerDropped(val id: String) : StoreUpdate

    /** The record can't be used; [id] is the backend server that it must no longer stand for, or null. */
    public data class Unreadable(val reason: String, val id: String?) : StoreUpdate

    /** The record says nothing that daemons act on. */
    public data object Irrelevant : StoreUpdate
}
