package org.bulrushtack.core.control

import org.bulrushtack.core.dispatch.Work
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.ApplyOutcome
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.LogRecord
import org.bulrushtack.core.membership.HeartbeatMessage

/** An action that controllers return for the I/O components of a daemon to carry out. */
public sealed interface Action {
    /** An action on the platform. */
    public sealed interface PlatformAction : Action

    /** An action on other daemons. */
    public sealed interface PeerAction : Action

    /** An action on backend servers that this daemon owns. */
    public sealed interface OwnerAction : Action

    /** An action on completions that this daemon received as ingress daemon. */
    public sealed interface CompletionAction : Action

    /** An action on service calls that this daemon received as ingress daemon. */
    public sealed interface CallAction : Action

    /** An action on edits whose operator waits for the result. */
    public sealed interface OperatorAction : Action

    /** Append [records] to the log in one call. */
    public data class AppendRecords(
        val records: List<LogRecord>,
    ) : PlatformAction

    /** Read records after [afterOffset] from a peer. */
    public data class ReadFromPeer(
        val peer: String,
        val address: String,
        val afterOffset: Long,
    ) : PeerAction

    /** Send a heartbeat to [peer]. */
    public data class SendHeartbeat(
        val peer: String,
        val address: String,
        val message: HeartbeatMessage,
    ) : PeerAction

    /** Read the load report and the list of running requests of an owned backend server. */
    public data class PollServer(
        val server: String,
        val address: String,
    ) : OwnerAction

    /** Dispatch [work] to its backend server under the fencing number [fence]. */
    public data class StartWork(
        val work: Work,
        val address: String,
        val fence: Long,
    ) : OwnerAction

    /** Refuse submitted work that wasn't dispatched. */
    public data class RefuseWork(
        val id: WorkId,
        val problem: Problem,
    ) : OwnerAction

    /** Cancel a request on a backend server. Repeated until the server's list no longer contains the request. */
    public data class CancelOnServer(
        val server: String,
        val address: String,
        val serverRequestId: String,
        val fence: Long,
    ) : OwnerAction

    /** Send an attempt of a completion to the owner of [server]; an empty [ownerAddress] is this daemon. */
    public data class SendAttempt(
        val requestId: String,
        val attempt: Int,
        val server: String,
        val ownerAddress: String,
    ) : CompletionAction

    /** Fail a completion with [problem]. */
    public data class FailRequest(
        val requestId: String,
        val problem: Problem,
    ) : CompletionAction

    /** Send a call to the owner of [server]; an empty [ownerAddress] is this daemon. */
    public data class SendCall(
        val requestId: String,
        val attempt: Int,
        val server: String,
        val ownerAddress: String,
    ) : CallAction

    /** Respond to a call; [replayed] marks an answer that was recorded for an earlier call with the same key. */
    public data class AnswerCall(
        val requestId: String,
        val answer: CallAnswer,
        val replayed: Boolean,
    ) : CallAction

    /** Fail a call with [problem]. */
    public data class FailCall(
        val requestId: String,
        val problem: Problem,
    ) : CallAction

    /** Report that an operator's edit was read back from the log and applied. */
    public data class EditApplied(
        val editId: String,
        val offset: Long,
        val outcome: ApplyOutcome,
    ) : OperatorAction

    /** Report that an operator's edit wasn't appended, or that its append couldn't be confirmed. */
    public data class EditFailed(
        val editId: String,
        val problem: Problem,
    ) : OperatorAction
}
