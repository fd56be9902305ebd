package org.bulrushtack.forward.quarantine

import org.bulrushtack.core.fleet.ServerLifetime

/** The lifetime of a backend server that got a request, at its [address]. */
internal data class ObservedServer(
    val lifetime: ServerLifetime,
    val address: String,
)
