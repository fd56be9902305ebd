package org.bulrushtack.daemon.owner

import org.bulrushtack.core.dispatch.WorkId

/** One dispatch of a service call, as submitted to the owner of its backend server. */
data class CallSubmission(
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
