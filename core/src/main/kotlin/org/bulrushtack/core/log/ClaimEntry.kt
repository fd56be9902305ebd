package org.bulrushtack.core.log

/** A claimed call, with its outcome once that is recorded. */
public data class ClaimEntry(
    val claimId: String,
    val claimant: String,
    val claimantIncarnation: String,
    val fingerprint: String,
    val claimedAtMillis: Long,
    val outcome: CallOutcome? = null,
)
