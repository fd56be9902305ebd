package org.bulrushtack.core.duty

/**
 * A daemon's claim to the duties, as the platform's store holds it.
 *
 * @property name the VM that claims
 * @property incarnation the incarnation of its process
 * @property nonce distinguishes this claim from all others of the process
 * @property token the offset of the record, which is the fencing token of the hold
 */
public data class HolderClaim(
    val name: String,
    val incarnation: String,
    val nonce: String,
    val token: Long,
)
