package org.bulrushtack.daemon.owner

import org.bulrushtack.core.dispatch.WorkId

/** One dispatch of a service call, as the owner of its backend server takes it. */
data class CallOrder(
    val id: WorkId,
    val server: String,
    val workspace: String,
    val service: String,
    val operation: String,
    val contentType: String,
    val body: ByteArray,
    val idempotencyKey: String?,
    val timeoutMillis: Long,
)
