package org.bulrushtack.core.backend

import java.util.concurrent.CompletableFuture

/** Calls plain services; each call is sent at most once. */
public fun interface ServiceClient {
    /** Sends [request] to the backend server at [address]. */
    public fun call(address: String, request: ServiceRequest): CompletableFuture<ServiceResult>
}
