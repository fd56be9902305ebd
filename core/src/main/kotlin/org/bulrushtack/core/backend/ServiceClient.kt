package org.bulrushtack.core.backend

import java.util.concurrent.CompletableFuture

/** Calls plain services; sends each call at most once. */
public fun interface ServiceClient {
    /** Sends [request] to the backend server at [address]. */
    public fun call(address: String, request: ServiceRequest): CompletableFuture<ServiceResult>
}
