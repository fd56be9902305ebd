package org.bulrushtack.core.log

/** Identifies one call of a plain service that may run at most once. */
public data class CallKey(
    val workspace: String,
    val service: String,
    val idempotencyKey: String,
)
