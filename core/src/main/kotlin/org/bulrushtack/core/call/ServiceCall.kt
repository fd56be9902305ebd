package org.bulrushtack.core.call

/**
 * A call of a plain service, without its body.
 *
 * @property key the idempotency key, or null when the caller sent none
 * @property keyAgeMillis the age of [key] by the daemon's wall clock; null without a key
 * @property fingerprint hash of operation and body
 */
public data class ServiceCall(
    val id: String,
    val workspace: String,
    val service: String,
    val operation: String,
    val key: IdempotencyKey?,
    val keyAgeMillis: Long?,
    val fingerprint: String,
    val receivedAtMillis: Long,
    val deadlineAtMillis: Long,
)
