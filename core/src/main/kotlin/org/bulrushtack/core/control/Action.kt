package org.bulrushtack.core.control

import org.bulrushtack.core.dispatch.Work
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.FoldedEntry
import org.bulrushtack.core.log.LogRecord
import org.bulrushtack.core.membership.HeartbeatMessage

/** What controllers ask the edges of a daemon to do. */
public sealed interface Action {
    /** Append records to the log in one call. */
    public data class AppendRecords(
        val records: List<LogRecord>,
    ) : Action

    /** Read records after [afterOffset] from a peer. */
    public data class ReadFromPeer(
        val peer: String,
        val address: String,
        val afterOffset: Long,
    ) : Action

    /** Send a heartbeat. */
    public data class SendHeartbeat(
        val peer: String,
        val address: String,
        val message: HeartbeatMessage,
    ) : Action

    /** Read the load report and the running list of an owned backend server. */
    public data class PollServer(
        val server: String,
        val address: String,
    ) : Action

    /** Dispatch [work] to its backend server under the fencing number [fence]. */
    public data class StartWork(
        val work: Work,
        val address: String,
        val fence: Long,
    ) : Action

    /** Refuse work that was submitted and not dispatched. */
    public data class RefuseWork(
        val id: WorkId,
        val problem: Problem,
    ) : Action

    /** Cancel a request on a backend server; repeated until its list no longer shows it. */
    public data class CancelOnServer(
        val server: String,
        val address: String,
        val serverRequestId: String,
        val fence: Long,
    ) : Action

    /** Send an attempt of a completion to the owner of [server]; an empty [ownerAddress] is this daemon. */
    public data class SendAttempt(
        val requestId: String,
        val attempt: Int,
        val server: String,
        val ownerAddress: String,
    ) : Action

    /** End a completion with a problem. */
    public data class FailRequest(
        val requestId: String,
        val problem: Problem,
    ) : Action

    /** Send a call to the owner of [server]; an empty [ownerAddress] is this daemon. */
    public data class SendCall(
        val requestId: String,
        val attempt: Int,
        val server: String,
        val ownerAddress: String,
    ) : Action

    /** Answer a call. */
    public data class AnswerCall(
        val requestId: String,
        val answer: CallAnswer,
        val replayed: Boolean,
    ) : Action

    /** End a call with a problem. */
    public data class FailCall(
        val requestId: String,
        val problem: Problem,
    ) : Action

    /** An operator's edit was folded. */
    public data class EditFolded(
        val editId: String,
        val folded: FoldedEntry,
    ) : Action

    /** An operator's edit was not taken by the log. */
    public data class EditFailed(
        val editId: String,
        val problem: Problem,
    ) : Action
}
