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

/** An input to the controllers of a daemon from its I/O components. The class names of events are logged. */
public sealed interface Event {
    /** Periodic event that lets controllers act on the passage of time. */
    public data object Tick : Event

    /**
     * Entries were read from the log or from a peer.
     *
     * @property tailOffset the log's tail at the time of the read, or null for entries from a peer
     * @property requestedAtMillis when the read was requested; the tail is known to be current as of then or later
     */
    public data class RecordsRead(
        val entries: List<LogEntry>,
        val tailOffset: Long?,
        val requestedAtMillis: Long,
    ) : Event

    /** The log did not respond. */
    public data object LogUnreachable : Event

    /** An append of the records [ids] got a response, or its response was lost. */
    public data class AppendAnswered(
        val ids: List<String>,
        val result: AppendResult,
    ) : Event

    /** The platform's VM list was read. */
    public data class VmListRead(
        val records: List<VmRecord>,
    ) : Event

    /**
     * A heartbeat or a heartbeat reply arrived.
     *
     * @property requestSentAtMillis for a reply, when this daemon sent the heartbeat; null for a peer's heartbeat
     */
    public data class HeartbeatReceived(
        val message: HeartbeatMessage,
        val requestSentAtMillis: Long?,
    ) : Event

    /** A backend server's load report was read; the report lags behind the server's state. */
    public data class ServerReported(
        val server: String,
        val report: ServerReport,
    ) : Event

    /** A backend server's list of running requests was read; the read was requested at [requestedAtMillis]. */
    public data class ServerListed(
        val server: String,
        val list: RunningList,
        val requestedAtMillis: Long,
    ) : Event

    /** Work was submitted for a backend server that this daemon may own. */
    public data class WorkSubmitted(
        val work: Work,
    ) : Event

    /** The requester of the work disconnected. */
    public data class WorkWithdrawn(
        val id: WorkId,
    ) : Event

    /** A backend server sent its first response to a dispatch, which names its [incarnation]. */
    public data class WorkAcknowledged(
        val id: WorkId,
        val incarnation: String,
    ) : Event

    /** A dispatch finished. */
    public data class WorkEnded(
        val id: WorkId,
        val result: WorkResult,
    ) : Event

    /** A caller requested a completion. */
    public data class CompletionRequested(
        val request: CompletionRequest,
    ) : Event

    /**
     * An attempt of a completion failed.
     *
     * @property reachedServer whether the owner had sent the attempt to the backend server
     */
    public data class AttemptFailed(
        val requestId: String,
        val attempt: Int,
        val problem: Problem,
        val reachedServer: Boolean,
    ) : Event

    /** Tokens of an attempt arrived, which proves that its owner is alive. */
    public data class AttemptProgressed(
        val requestId: String,
        val attempt: Int,
    ) : Event

    /** A completion finished successfully, or its caller disconnected. */
    public data class RequestEnded(
        val requestId: String,
    ) : Event

    /** A caller requested a call of a plain service. */
    public data class CallRequested(
        val call: ServiceCall,
    ) : Event

    /** A backend server responded to a dispatched call. */
    public data class CallAnswered(
        val requestId: String,
        val answer: CallAnswer,
    ) : Event

    /** A dispatch of a call failed. */
    public data class CallAttemptFailed(
        val requestId: String,
        val problem: Problem,
    ) : Event

    /** An operator requested an edit of the settings. */
    public data class EditRequested(
        val edit: SettingsEdit,
    ) : Event

    /** A graceful shutdown of the process was requested. */
    public data object DrainRequested : Event

    /** Callers have had time to learn of other daemons; a draining daemon admits no more requests. */
    public data object AdmissionEnded : Event

    /** The process is about to exit: queued work is refused, and requests whose result is pending are ended. */
    public data object ExitDue : Event
}
