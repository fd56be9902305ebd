package org.bulrushtack.daemon.owner

import org.bulrushtack.core.dispatch.WorkId

/** One attempt of a completion, as the owner of its backend server takes it. */
data class AttemptOrder(
    val id: WorkId,
    val server: String,
    val workspace: String,
    val model: String,
    val prompt: ByteArray,
    val promptTokens: Long,
    val maximumTokens: Long,
    val resumeFrom: Long,
    val timeoutMillis: Long,
)
