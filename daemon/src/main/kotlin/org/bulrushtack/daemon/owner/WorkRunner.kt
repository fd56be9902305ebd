package org.bulrushtack.daemon.owner

import org.bulrushtack.core.backend.BackendRequestContext
import org.bulrushtack.core.backend.EngineClient
import org.bulrushtack.core.backend.ServerInspector
import org.bulrushtack.core.backend.ServiceClient
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.dispatch.Work
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.dispatch.WorkResult
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.core.server.BackendServer
import org.bulrushtack.core.server.ServerSettings
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.control.ControlThread
import java.util.concurrent.ConcurrentHashMap

/** The owner's edge: takes work for owned backend servers, sends it, and reads what the servers say. */
class WorkRunner(
    private val identity: MemberIdentity,
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val engines: EngineClient,
    private val services: ServiceClient,
    private val inspector: ServerInspector,
) {
    private val log = ComponentLog(component = "owner")
    private val works = ConcurrentHashMap<WorkId, OwnedWork>()

    /** Takes an attempt of a completion; [sink] hears how it goes. */
    fun submit(submission: AttemptSubmission, sink: FrameSink) {
        val settings = ServerSettings.read(control.snapshot.tree, BackendServer.path(submission.server))
        val answerTokens = submission.maximumTokens - submission.resumeFrom
        val work = Work(
            id = submission.id,
            server = submission.server,
            workspace = submission.workspace,
            reservedTokens = submission.promptTokens + submission.maximumTokens,
            expectedMillis = settings.expectedMillis(
                promptTokens = submission.promptTokens,
                answerTokens = answerTokens,
            ),
            receivedAtMillis = clock.nowMillis(),
            deadlineAtMillis = clock.nowMillis() + submission.timeoutMillis,
        )
        val attempt = OwnedAttempt(
            submission = submission,
            sink = sink,
            identity = identity,
            engines = engines,
            outcome = ControlObserver(submission.id),
        )
        take(work = work, owned = attempt)
    }

    /** Takes a service call; [sink] hears its outcome. */
    fun submit(submission: CallSubmission, sink: CallSink) {
        val work = Work(
            id = submission.id,
            server = submission.server,
            workspace = submission.workspace,
            reservedTokens = 0,
            expectedMillis = CALL_MILLIS,
            receivedAtMillis = clock.nowMillis(),
            deadlineAtMillis = clock.nowMillis() + submission.timeoutMillis,
        )
        val call = OwnedCall(
            submission = submission,
            sink = sink,
            identity = identity,
            services = services,
            outcome = ControlObserver(submission.id),
        )
        take(work = work, owned = call)
    }

    /** Breaks work off, since its requester went away. */
    fun withdraw(id: WorkId) {
        works[id]?.withdraw()
        control.post(Event.WorkWithdrawn(id))
    }

    /** Carries out a decision to dispatch. */
    fun start(action: Action.StartWork) {
        val work = works[action.work.id]
        if (work == null) {
            ended(id = action.work.id, ending = WorkResult(kind = WorkResult.Kind.NOT_SENT))
            return
        }
        log.debug { "request=${action.work.id.serverRequestId} goes to ${action.work.server} fence=${action.fence}." }
        work.start(action)
    }

    /** Carries out a refusal. */
    fun refuse(action: Action.RefuseWork) {
        log.debug { "request=${action.id.serverRequestId} is refused: ${action.problem.kind.code}." }
        works.remove(action.id)?.refuse(action.problem)
    }

    /** Reads a backend server's list and load report. */
    fun poll(action: Action.PollServer) {
        val askedAtMillis = clock.nowMillis()
        inspector.listRequests(action.address).thenAccept { answer ->
            answer.onRight {
                control.post(Event.ServerListed(server = action.server, list = it, requestedAtMillis = askedAtMillis))
            }
        }
        inspector.readLoad(action.address).thenAccept { answer ->
            answer.onRight { control.post(Event.ServerReported(server = action.server, report = it)) }
        }
    }

    /** Asks a backend server to cancel a request. */
    fun cancel(action: Action.CancelOnServer) {
        log.debug { "request=${action.serverRequestId} is cancelled on ${action.server}." }
        val context = BackendRequestContext(
            serverRequestId = action.serverRequestId,
            owner = identity.name,
            ownerIncarnation = identity.incarnation,
            fence = action.fence,
        )
        inspector.cancel(address = action.address, context = context)
    }

    private fun take(work: Work, owned: OwnedWork) {
        if (works.putIfAbsent(work.id, owned) != null) {
            owned.refuse(Problem(kind = ErrorKind.INTERNAL, detail = "The attempt was submitted twice."))
            return
        }
        control.post(Event.WorkSubmitted(work))
    }

    private fun ended(id: WorkId, ending: WorkResult) {
        works.remove(id)
        control.post(Event.WorkEnded(id = id, result = ending))
    }

    private inner class ControlObserver(
        private val id: WorkId,
    ) : WorkObserver {
        override fun acknowledged(incarnation: String) =
            control.post(Event.WorkAcknowledged(id = id, incarnation = incarnation))

        override fun ended(ending: WorkResult) = this@WorkRunner.ended(id = id, ending = ending)
    }
}

private const val CALL_MILLIS = 50L
