package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingChange

/** One record of the system in the platform's log. A repeated append has the same identifier and is applied once. */
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
 * @property replacesEpoch the epoch that the claimant saw; the claim is rejected if the epoch has changed since
 */
public data class OwnershipClaim(
    override val id: String,
    val server: String,
    val owner: String,
    val ownerIncarnation: String,
    val replacesEpoch: Long,
) : LogRecord

/** Gives up the ownership of a backend server; appended by the owner itself. */
public data class OwnershipRelease(
    override val id: String,
    val server: String,
    val epoch: Long,
) : LogRecord

/**
 * A daemon's claim to run a call; the first one in the log wins.
 *
 * @property fingerprint hash of the operation and body, which reveals that a key was used for another request
 */
public data class CallClaim(
    override val id: String,
    val call: CallKey,
    val claimant: String,
    val claimantIncarnation: String,
    val fingerprint: String,
) : LogRecord

/** Releases the claim [claimId]: its claimant hasn't dispatched the call under it and never will. */
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

/** The state through [throughOffset]; readers load it and apply every later entry. */
public data class Snapshot(
    override val id: String,
    val throughOffset: Long,
    val state: LogState,
) : LogRecord

/** A record that this version can't decode; it keeps its offset in the log and has no effect. */
public data class UnreadableRecord(
    override val id: String,
) : LogRecord
