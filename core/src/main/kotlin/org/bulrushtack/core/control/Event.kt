package org.bulrushtack.core.control

import org.bulrushtack.core.call.ServiceCall
import org.bulrushtack.core.dispatch.RunningList
import org.bulrushtack.core.dispatch.ServerReport
import org.bulrushtack.core.dispatch.Work
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.dispatch.WorkResult
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.AppendResult
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.LogEntry
import org.bulrushtack.core.log.SettingsEdit
import org.bulrushtack.core.membership.HeartbeatMessage
import org.bulrushtack.core.membership.VmRecord
import org.bulrushtack.core.request.CompletionRequest

/** What the edges of a daemon tell its controllers. */
public sealed interface Event {
    /** Some time has passed. */
    public data object Tick : Event

    /**
     * Entries were read from the log or from a peer.
     *
     * @property tailOffset the log's tail as of the reading, or null when it was read from a peer
     * @property requestedAtMillis when the reading was asked for; the tail is known at least as of then
     */
    public data class RecordsRead(
        val entries: List<LogEntry>,
        val tailOffset: Long?,
        val requestedAtMillis: Long,
    ) : Event

    /** The log did not answer. */
    public data object LogUnreachable : Event

    /** An append of the records [ids] was answered, or its answer was lost. */
    public data class AppendAnswered(
        val ids: List<String>,
        val result: AppendResult,
    ) : Event

    /** The platform's VM list was read. */
    public data class VmListRead(
        val records: List<VmRecord>,
    ) : Event

    /**
     * A heartbeat or its answer arrived.
     *
     * @property requestSentAtMillis for an answer, when this daemon sent the heartbeat that it answers
     */
    public data class HeartbeatReceived(
        val message: HeartbeatMessage,
        val requestSentAtMillis: Long?,
    ) : Event

    /** A backend server's load report was read; it lags. */
    public data class ServerReported(
        val server: String,
        val report: ServerReport,
    ) : Event

    /** A backend server's list of what it runs was read; it was asked for at [requestedAtMillis]. */
    public data class ServerListed(
        val server: String,
        val list: RunningList,
        val requestedAtMillis: Long,
    ) : Event

    /** Work for a backend server that this daemon may own. */
    public data class WorkSubmitted(
        val work: Work,
    ) : Event

    /** The requester of some work went away. */
    public data class WorkWithdrawn(
        val id: WorkId,
    ) : Event

    /** A backend server answered a dispatch for the first time, and so named its [incarnation]. */
    public data class WorkAcknowledged(
        val id: WorkId,
        val incarnation: String,
    ) : Event

    /** A dispatch ended. */
    public data class WorkEnded(
        val id: WorkId,
        val result: WorkResult,
    ) : Event

    /** A caller asked for a completion. */
    public data class CompletionRequested(
        val request: CompletionRequest,
    ) : Event

    /**
     * An attempt of a completion failed.
     *
     * @property reachedServer whether its owner had sent it to the backend server
     */
    public data class AttemptFailed(
        val requestId: String,
        val attempt: Int,
        val problem: Problem,
        val reachedServer: Boolean,
    ) : Event

    /** Tokens of an attempt arrived, which proves that its owner lives. */
    public data class AttemptProgressed(
        val requestId: String,
        val attempt: Int,
    ) : Event

    /** A completion ended, well or because its caller went away. */
    public data class RequestEnded(
        val requestId: String,
    ) : Event

    /** A caller asked for a call of a plain service. */
    public data class CallRequested(
        val call: ServiceCall,
    ) : Event

    /** A dispatched call was answered. */
    public data class CallAnswered(
        val requestId: String,
        val answer: CallAnswer,
    ) : Event

    /** A dispatch of a call failed. */
    public data class CallAttemptFailed(
        val requestId: String,
        val problem: Problem,
    ) : Event

    /** An operator's edit is to be appended. */
    public data class EditRequested(
        val edit: SettingsEdit,
    ) : Event

    /** The process was asked to shut down. */
    public data object DrainRequested : Event
}
