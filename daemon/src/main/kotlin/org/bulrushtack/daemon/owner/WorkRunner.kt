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

/** Accepts work for the backend servers that this daemon owns, sends it, and polls those servers. */
class WorkRunner(
    private val identity: MemberIdentity,
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val engines: EngineClient,
    private val services: ServiceClient,
    private val inspector: ServerInspector,
) {
    private val log = ComponentLog(component = "owner")
    private val activeWork = ConcurrentHashMap<WorkId, OwnedWork>()

    /** Accepts an attempt of a completion; [sink] receives its answer. */
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
            observer = ControlThreadObserver(submission.id),
        )
        accept(work = work, owned = attempt)
    }

    /** Accepts a service call; [sink] receives its outcome. */
    fun submit(submission: CallSubmission, sink: CallSink) {
        val work = Work(
            id = submission.id,
            server = submission.server,
            workspace = submission.workspace,
            reservedTokens = 0,
            expectedMillis = EXPECTED_CALL_MILLIS,
            receivedAtMillis = clock.nowMillis(),
            deadlineAtMillis = clock.nowMillis() + submission.timeoutMillis,
        )
        val call = OwnedCall(
            submission = submission,
            sink = sink,
            identity = identity,
            services = services,
            observer = ControlThreadObserver(submission.id),
        )
        accept(work = work, owned = call)
    }

    /** Cancels work whose requester no longer waits for it. */
    fun withdraw(id: WorkId) {
        activeWork[id]?.withdraw()
        control.post(Event.WorkWithdrawn(id))
    }

    /** Sends work that the controllers decided to dispatch. */
    fun start(action: Action.StartWork) {
        val work = activeWork[action.work.id]
        if (work == null) {
            finish(id = action.work.id, result = WorkResult(kind = WorkResult.Kind.NOT_SENT))
            return
        }
        log.debug { "request=${action.work.id.serverRequestId} sent to ${action.work.server} fence=${action.fence}." }
        work.start(action)
    }

    /** Fails work that the controllers refused. */
    fun refuse(action: Action.RefuseWork) {
        log.debug { "request=${action.id.serverRequestId} is refused: ${action.problem.kind.code}." }
        activeWork.remove(action.id)?.refuse(action.problem)
    }

    /** Reads a backend server's list of requests and its load report. */
    fun poll(action: Action.PollServer) {
        val requestedAtMillis = clock.nowMillis()
        inspector.listRequests(action.address).thenAccept { result ->
            result.onRight {
                control.post(
                    Event.ServerListed(server = action.server, list = it, requestedAtMillis = requestedAtMillis),
                )
            }
        }
        inspector.readLoad(action.address).thenAccept { result ->
            result.onRight { control.post(Event.ServerReported(server = action.server, report = it)) }
        }
    }

    /** Requests the cancellation of a request from its backend server. */
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

    private fun accept(work: Work, owned: OwnedWork) {
        if (activeWork.putIfAbsent(work.id, owned) != null) {
            owned.refuse(Problem(kind = ErrorKind.INTERNAL, detail = "The attempt was submitted twice."))
            return
        }
        control.post(Event.WorkSubmitted(work))
    }

    private fun finish(id: WorkId, result: WorkResult) {
        activeWork.remove(id)
        control.post(Event.WorkEnded(id = id, result = result))
    }

    private inner class ControlThreadObserver(
        private val id: WorkId,
    ) : WorkObserver {
        override fun acknowledged(incarnation: String) =
            control.post(Event.WorkAcknowledged(id = id, incarnation = incarnation))

        override fun finished(result: WorkResult) = this@WorkRunner.finish(id = id, result = result)
    }
}

private const val EXPECTED_CALL_MILLIS = 50L
