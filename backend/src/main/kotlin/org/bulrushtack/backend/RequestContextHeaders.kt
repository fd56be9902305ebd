package org.bulrushtack.backend

import org.bulrushtack.core.backend.BackendRequestContext
import org.bulrushtack.http.HttpHeaderList

/** The headers that identify a request and the daemon that sends it to a backend server. */
internal object RequestContextHeaders {
    const val INCARNATION = "x-incarnation"

    fun of(context: BackendRequestContext): HttpHeaderList = HttpHeaderList()
        .with(name = "x-request-id", value = context.serverRequestId)
        .with(name = "x-owner", value = context.owner)
        .with(name = "x-owner-incarnation", value = context.ownerIncarnation)
        .with(name = "x-fencing-number", value = context.fence.toString())
}
