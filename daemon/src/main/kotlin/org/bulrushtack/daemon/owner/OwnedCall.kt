package org.bulrushtack.daemon.owner

import org.bulrushtack.core.backend.BackendRequestContext
import org.bulrushtack.core.backend.ServiceClient
import org.bulrushtack.core.backend.ServiceRequest
import org.bulrushtack.core.backend.ServiceResult
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.dispatch.WorkResult
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.membership.MemberIdentity

/** A service call on an owned backend server. It is never cancelled once sent, since it may have taken effect. */
internal class OwnedCall(
    private val submission: CallSubmission,
    private val sink: CallSink,
    private val identity: MemberIdentity,
    private val services: ServiceClient,
    private val observer: WorkObserver,
) : OwnedWork {
    override fun start(action: Action.StartWork) {
        services.call(address = action.address, request = request(action)).thenAccept { result ->
            when (result) {
                is ServiceResult.Answered -> {
                    sink.answered(result.answer)
                    observer.finished(WorkResult(kind = WorkResult.Kind.FINISHED, incarnation = result.incarnation))
                }
                is ServiceResult.NotSent -> {
                    sink.failed(Problem(kind = ErrorKind.NOT_DISPATCHED, detail = result.detail))
                    observer.finished(WorkResult(kind = WorkResult.Kind.NOT_SENT))
                }
                is ServiceResult.Lost -> {
                    sink.failed(Problem(kind = ErrorKind.BACKEND_LOST, detail = result.detail))
                    observer.finished(WorkResult(kind = WorkResult.Kind.LOST))
                }
            }
        }
    }

    override fun refuse(problem: Problem) = sink.failed(problem)

    override fun withdraw() = Unit

    private fun request(action: Action.StartWork): ServiceRequest = ServiceRequest(
        context = BackendRequestContext(
            serverRequestId = submission.id.serverRequestId,
            owner = identity.name,
            ownerIncarnation = identity.incarnation,
            fence = action.fence,
        ),
        workspace = submission.workspace,
        service = submission.service,
        operation = submission.operation,
        contentType = submission.contentType,
        body = submission.body,
        idempotencyKey = submission.idempotencyKey,
        timeoutMillis = submission.timeoutMillis,
    )
}
