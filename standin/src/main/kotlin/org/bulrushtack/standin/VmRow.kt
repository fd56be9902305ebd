package org.bulrushtack.standin

import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpClient

/** One row of the platform's VM list, in the form that its readers parse. */
internal data class VmRow(
    val name: String,
    val kind: String,
    val dataCentre: String,
    val http: String,
    val peer: String = "",
    val serves: List<String> = emptyList(),
    val state: String = "live",
) {
    /** Adds the row to the VM list of the platform whose control address is [control]. */
    fun register(control: String) {
        val group = EventLoops.create(1)
        val request = ClientRequest(
            method = "POST",
            address = control,
            path = "/control/vms",
            body = StandInRouter.mapper.writeValueAsBytes(this),
        )
        HttpClient(group).exchange(request).join()
        group.shutdownGracefully()
    }
}
