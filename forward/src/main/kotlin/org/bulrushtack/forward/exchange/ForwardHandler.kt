package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.exchange.AnswerTimeEstimate
import org.bulrushtack.core.exchange.StreamTimeouts
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.Workspace
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.wire.CallerRequestHead
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.RequestError

/** Admits callers' requests: resolves the route and the workspace, and rejects what the configuration doesn't allow. */
internal class ForwardHandler(
    private val dependencies: ExchangeDependencies,
) : HttpHandler {
    private val drain = dependencies.drain
    private val requestLog = RequestLog(dependencies.log)
    private val active = HashSet<ForwardedExchange>()
    private val admission = RequestAdmission(
        state = dependencies.state,
        drain = drain,
        configurationAgeMillis = dependencies.configurationAgeMillis,
        nowMillis = dependencies.thread::nowMillis,
    )
    private val configurationWait = ConfigurationWait(thread = dependencies.thread, basis = { admission.basis })

    private val knowledge get() = dependencies.state.knowledge(dependencies.thread.nowMillis())

    override val isClosing: Boolean get() = dependencies.state.draining
    override val observer = LostResponseObserver(metrics = dependencies.metrics, log = dependencies.log)

    /** The number of requests in flight. */
    val activeCount: Int get() = active.size

    override fun handle(exchange: HttpExchange) {
        val head = dependencies.codec.callerRequestHead(exchange.request.headers)
        admit(exchange, head, receivedAtMillis = dependencies.thread.nowMillis())
    }

    private fun admit(exchange: HttpExchange, head: CallerRequestHead, receivedAtMillis: Long) {
        when (val decision = admission.decide(exchange.request, head)) {
            is AdmissionDecision.Admitted ->
                forward(exchange, head, decision.route, decision.workspace, receivedAtMillis)
            is AdmissionDecision.Refused -> {
                val isHeld = decision.isForWantOfKnowledge &&
                    configurationWait.hold(exchange, head.deadlineMillis, receivedAtMillis) {
                        admit(exchange, head, receivedAtMillis)
                    }
                if (!isHeld) reject(exchange, head, decision.kind)
            }
        }
    }

    /**
     * Ends the requests that can't be answered before a draining process exits: at once those that still wait for a
     * backend server, all others only when their final response is due.
     */
    fun endUnfinishable() {
        val nowMillis = dependencies.thread.nowMillis()
        val mustRespond = drain.mustRespond(nowMillis)
        dependencies.thread.forEach(active.toList()) { forwarded ->
            val isDue = mustRespond || (forwarded.isWaiting && !canFinish(forwarded, nowMillis))
            if (isDue) forwarded.end { shutDown(it) }
        }
    }

    /** Ends the requests that wait for a backend server, as this daemon reaches none, so that callers go elsewhere. */
    fun endWaiting() = dependencies.thread.forEach(active.filter { it.isWaiting }) { forwarded ->
        forwarded.end { refused(ErrorKind.SERVERS_UNREACHABLE, mayHaveRun = it, ELSEWHERE_MILLIS) }
    }

    private fun canFinish(forwarded: ForwardedExchange, nowMillis: Long): Boolean =
        drain.leavesTimeUntil(forwarded.context.expectedEndAtMillis(nowMillis))

    override fun errorResponse(error: RequestError): HttpMessageResponse {
        val kind = when (error) {
            RequestError.MALFORMED -> ErrorKind.MALFORMED_REQUEST
            RequestError.HEADERS_TOO_LARGE -> ErrorKind.HEADERS_TOO_LARGE
            RequestError.BODY_TOO_LARGE -> ErrorKind.BODY_TOO_LARGE
            RequestError.NO_MEMORY -> ErrorKind.OVERLOADED
            RequestError.INCOMPLETE -> if (isClosing) ErrorKind.DRAINING else ErrorKind.REQUEST_INCOMPLETE
            RequestError.HANDLER_FAILED -> ErrorKind.INTERNAL
        }
        dependencies.metrics.recordProblem(kind)
        dependencies.log.info("A request could not be parsed.", LogField("kind", kind.code))
        return ProblemWriter.response(problem = Problem(kind), requestId = "unknown")
    }

    private fun forward(
        exchange: HttpExchange,
        head: CallerRequestHead,
        route: Route,
        workspace: Workspace?,
        receivedAtMillis: Long,
    ) {
        val nowMillis = dependencies.thread.nowMillis()
        val deadlineMillis = minOf(route.timeoutMillis, head.deadlineMillis ?: Long.MAX_VALUE)
        val service = route.service(dependencies.random.nextDouble())
        val trustsEstimate = route.repeatability != Repeatability.ONCE && drain.trustsEstimates(nowMillis)
        val context = ForwardedRequestContext(
            requestId = head.attemptId.orEmpty(),
            service = service,
            route = route,
            caller = head,
            workspace = workspace,
            timeouts = StreamTimeouts.forRoute(route = route, finalMillis = deadlineMillis),
            receivedAtMillis = receivedAtMillis,
            deadlineAtMillis = receivedAtMillis + deadlineMillis,
            answerTime = if (trustsEstimate) {
                answerTime(route, service, head.prompt)
            } else {
                AnswerTimeEstimate.untilDeadline(deadlineMillis)
            },
            request = exchange.request,
            knowledge = knowledge,
        )
        head.prompt?.let { shape ->
            dependencies.demand.recordArrival(service, shape, route.tokenGapMillis ?: route.objectiveMillis)
        }
        val forwarded = ForwardedExchange(dependencies, exchange, context, onFinished = { active.remove(it) })
        active.add(forwarded)
        forwarded.start()
    }

    private fun answerTime(route: Route, service: String, shape: PromptShape?): AnswerTimeEstimate {
        val profile = dependencies.state.routing?.service(service)?.engine
        return if (profile == null || shape == null) {
            AnswerTimeEstimate.ofCall(route)
        } else {
            val engines = dependencies.state.fleet.usableOf(service, dependencies.thread.nowMillis()).size
            AnswerTimeEstimate.ofPrompt(route, shape, profile, engines)
        }
    }

    private fun reject(exchange: HttpExchange, head: CallerRequestHead, kind: ErrorKind) {
        val requestId = head.attemptId ?: "unknown"
        dependencies.metrics.recordProblem(kind)
        requestLog.recordRejected(requestId, kind, knowledge)
        val retryAfterMillis =
            if (kind == ErrorKind.SERVERS_UNREACHABLE) ELSEWHERE_MILLIS else ProblemWriter.DEFAULT_RETRY_MILLIS
        exchange.respond(ProblemWriter.response(Problem(kind), requestId, retryAfterMillis))
    }
}

/** A caller that is refused by this daemon alone needs only the time to choose another one. */
private const val ELSEWHERE_MILLIS = 100L
