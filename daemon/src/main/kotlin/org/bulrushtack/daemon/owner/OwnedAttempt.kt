package org.bulrushtack.daemon.owner

import org.bulrushtack.core.backend.BackendCall
import org.bulrushtack.core.backend.BackendRequestContext
import org.bulrushtack.core.backend.EngineClient
import org.bulrushtack.core.backend.EngineListener
import org.bulrushtack.core.backend.EngineRequest
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.dispatch.WorkResult
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.membership.MemberIdentity

/** An attempt of a completion on a backend server that this daemon owns. */
internal class OwnedAttempt(
    private val submission: AttemptSubmission,
    private val sink: FrameSink,
    private val identity: MemberIdentity,
    private val engines: EngineClient,
    private val observer: WorkObserver,
) : OwnedWork, EngineListener {
    @Volatile
    private var call: BackendCall? = null

    @Volatile
    private var withdrawn = false

    override fun start(action: Action.StartWork) {
        if (withdrawn) {
            observer.finished(WorkResult(kind = WorkResult.Kind.NOT_SENT))
            return
        }
        sink.started()
        val started = engines.start(address = action.address, request = engineRequest(action), listener = this)
        call = started
        sink.onReady { started.setReading(true) }
        if (withdrawn) started.cancel()
    }

    override fun refuse(problem: Problem) = sink.failed(problem)

    override fun withdraw() {
        withdrawn = true
        call?.cancel()
    }

    override fun onAccepted(incarnation: String) = observer.acknowledged(incarnation)

    override fun onChunk(offset: Long, tokens: Long, text: String) {
        sink.chunk(offset = offset, tokens = tokens, text = text)
        if (sink.isReady) return
        call?.setReading(false)
        if (sink.isReady) call?.setReading(true)
    }

    override fun onFinished(totalTokens: Long, reason: String, incarnation: String?) {
        sink.finished(totalTokens = totalTokens, reason = reason)
        observer.finished(WorkResult(kind = WorkResult.Kind.FINISHED, incarnation = incarnation))
    }

    override fun onRejected(problem: Problem, incarnation: String?) {
        sink.failed(problem)
        observer.finished(WorkResult(kind = WorkResult.Kind.FINISHED, incarnation = incarnation))
    }

    override fun onNotSent(detail: String) {
        sink.failed(Problem(kind = ErrorKind.NOT_DISPATCHED, detail = detail))
        observer.finished(WorkResult(kind = WorkResult.Kind.NOT_SENT))
    }

    override fun onLost(detail: String, incarnation: String?) {
        sink.failed(Problem(kind = ErrorKind.BACKEND_LOST, detail = detail))
        observer.finished(WorkResult(kind = WorkResult.Kind.LOST, incarnation = incarnation))
    }

    private fun engineRequest(action: Action.StartWork): EngineRequest = EngineRequest(
        context = BackendRequestContext(
            serverRequestId = submission.id.serverRequestId,
            owner = identity.name,
            ownerIncarnation = identity.incarnation,
            fence = action.fence,
        ),
        model = submission.model,
        prompt = submission.prompt,
        promptTokens = submission.promptTokens,
        maximumTokens = submission.maximumTokens,
        resumeFrom = submission.resumeFrom,
        priority = if (submission.promptTokens + submission.maximumTokens > LONG_TOKENS) {
            LONG_PRIORITY
        } else {
            SHORT_PRIORITY
        },
    )
}

private const val LONG_TOKENS = 32_000
private const val SHORT_PRIORITY = 0
private const val LONG_PRIORITY = 1
