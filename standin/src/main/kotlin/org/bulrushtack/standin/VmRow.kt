package org.bulrushtack.standin

import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpClient

/** One row of the platform's VM list, as the list's readers see it. */
internal data class VmRow(
    val name: String,
    val kind: String,
    val dataCentre: String,
    val http: String,
    val peer: String = "",
    val serves: List<String> = emptyList(),
    val state: String = "live",
) {
    /** Puts the row into the list of the platform whose control port is [control]. */
    fun register(control: String) {
        val group = EventLoops.create(1)
        val request = ClientRequest(
            method = "POST",
            address = control,
            path = "/control/vms",
            body = StandInServer.mapper.writeValueAsBytes(this),
        )
        HttpClient(group).exchange(request).join()
        group.shutdownGracefully()
    }
}
