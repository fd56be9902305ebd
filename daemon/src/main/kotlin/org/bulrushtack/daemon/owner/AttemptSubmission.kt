package org.bulrushtack.daemon.owner

import org.bulrushtack.core.dispatch.WorkId

/** One attempt of a completion, as submitted to the owner of its backend server. */
data class AttemptSubmission(
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
