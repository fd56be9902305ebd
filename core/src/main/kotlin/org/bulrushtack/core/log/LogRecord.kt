package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingChange

/** One record of the system in the platform's log. Its identifier makes an append that is repeated fold once. */
public sealed interface LogRecord {
    public val id: String
}

/** An operator's edit of the settings tree; all of its changes are applied, or none. */
public data class SettingsEdit(
    override val id: String,
    val operator: String,
    val changes: List<SettingChange>,
) : LogRecord

/**
 * A daemon's claim to own a backend server.
 *
 * @property replacesEpoch the epoch that the claimant saw; the claim is rejected when another one came first
 */
public data class OwnershipClaim(
    override val id: String,
    val server: String,
    val owner: String,
    val ownerIncarnation: String,
    val replacesEpoch: Long,
) : LogRecord

/** The end of an ownership by its owner's own word. */
public data class OwnershipRelease(
    override val id: String,
    val server: String,
    val epoch: Long,
) : LogRecord

/**
 * A daemon's claim to run a call; the first one in the log wins.
 *
 * @property fingerprint hash of the operation and body, so that a key used for another request is noticed
 */
public data class CallClaim(
    override val id: String,
    val call: CallKey,
    val claimant: String,
    val claimantIncarnation: String,
    val fingerprint: String,
) : LogRecord

/** A claimant's word that it never dispatched the call and never will under the claim [claimId]. */
public data class CallRelease(
    override val id: String,
    val call: CallKey,
    val claimId: String,
) : LogRecord

/**
 * The outcome of a claimed call.
 *
 * @property answer the answer, or null when it is unknown or was too large to keep
 * @property known whether the call is known to have run
 */
public data class CallOutcome(
    override val id: String,
    val call: CallKey,
    val claimId: String,
    val known: Boolean,
    val answer: CallAnswer?,
) : LogRecord

/** The folded state through [throughOffset]; readers load it and fold every later entry. */
public data class Snapshot(
    override val id: String,
    val throughOffset: Long,
    val state: LogState,
) : LogRecord

/** A record that this version can't read; it takes its place in the log and has no effect. */
public data class UnreadableRecord(
    override val id: String,
) : LogRecord
