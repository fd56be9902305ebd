package org.bulrushtack.core.backend

/** A call of a plain service. */
public data class ServiceRequest(
    public val context: BackendRequestContext,
    public val workspace: String,
    public val service: String,
    public val operation: String,
    public val contentType: String,
    public val body: ByteArray,
    public val idempotencyKey: String?,
    public val timeoutMillis: Long,
)
