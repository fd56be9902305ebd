package org.bulrushtack.core.store

import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.route.RoutingConfiguration

/** A decoded record of the platform's store. */
public sealed interface StoreUpdate {
    /** A new version of the operators' configuration. */
    public data class Configuration(val configuration: RoutingConfiguration) : StoreUpdate

    /** A data centre was taken out of service or brought back. */
    public data class DataCentre(val name: String, val takenOut: Boolean) : StoreUpdate

    /** The entry of a backend server was added or changed. */
    public data class ServerUpdated(val entry: BackendServerEntry) : StoreUpdate

    /** The entry of the backend server with this id was deleted. */
    public data class ServerRemoved(val id: String) : StoreUpdate

    /** The record can't be decoded; [id] is the backend server whose earlier entry becomes invalid, or null. */
    public data class Unreadable(val reason: String, val id: String?) : StoreUpdate

    /** Daemons don't use the record. */
    public data object Irrelevant : StoreUpdate
}
