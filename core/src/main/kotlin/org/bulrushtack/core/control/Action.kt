package org.bulrushtack.core.control

import org.bulrushtack.core.dispatch.Work
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.ApplyOutcome
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.LogRecord
import org.bulrushtack.core.membership.HeartbeatMessage

/** What controllers ask the edges of a daemon to do. */
public sealed interface Action {
    /** For the platform. */
    public sealed interface PlatformAction : Action

    /** For other daemons. */
    public sealed interface PeerAction : Action

    /** For backend servers that this daemon owns. */
    public sealed interface OwnerAction : Action

    /** For completions that this daemon took. */
    public sealed interface CompletionAction : Action

    /** For service calls that this daemon took. */
    public sealed interface CallAction : Action

    /** For operators who wait for an edit. */
    public sealed interface OperatorAction : Action

    /** Append records to the log in one call. */
    public data class AppendRecords(
        val records: List<LogRecord>,
    ) : PlatformAction

    /** Read records after [afterOffset] from a peer. */
    public data class ReadFromPeer(
        val peer: String,
        val address: String,
        val afterOffset: Long,
    ) : PeerAction

    /** Send a heartbeat. */
    public data class SendHeartbeat(
        val peer: String,
        val address: String,
        val message: HeartbeatMessage,
    ) : PeerAction

    /** Read the load report and the running list of an owned backend server. */
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

    /** Refuse work that was submitted and not dispatched. */
    public data class RefuseWork(
        val id: WorkId,
        val problem: Problem,
    ) : OwnerAction

    /** Cancel a request on a backend server; repeated until its list no longer shows it. */
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

    /** End a completion with a problem. */
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

    /** Answer a call. */
    public data class AnswerCall(
        val requestId: String,
        val answer: CallAnswer,
        val replayed: Boolean,
    ) : CallAction

    /** End a call with a problem. */
    public data class FailCall(
        val requestId: String,
        val problem: Problem,
    ) : CallAction

    /** An operator's edit was read back from the log and applied. */
    public data class EditApplied(
        val editId: String,
        val offset: Long,
        val outcome: ApplyOutcome,
    ) : OperatorAction

    /** An operator's edit was not taken by the log. */
    public data class EditFailed(
        val editId: String,
        val problem: Problem,
    ) : OperatorAction
}
