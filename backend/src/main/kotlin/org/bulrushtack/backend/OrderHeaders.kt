package org.bulrushtack.backend

import org.bulrushtack.core.backend.BackendOrder
import org.bulrushtack.http.HttpHeaderList

/** The headers by which a backend server knows an order and its giver. */
internal object OrderHeaders {
    const val INCARNATION = "x-incarnation"

    fun of(order: BackendOrder): HttpHeaderList = HttpHeaderList()
        .with(name = "x-request-id", value = order.serverRequestId)
        .with(name = "x-owner", value = order.owner)
        .with(name = "x-owner-incarnation", value = order.ownerIncarnation)
        .with(name = "x-fencing-number", value = order.fence.toString())
}
