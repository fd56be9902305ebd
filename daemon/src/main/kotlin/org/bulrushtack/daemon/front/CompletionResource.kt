package org.bulrushtack.daemon.front

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.request.CompletionRequest
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.ingress.BufferedCompletionWriter
import org.bulrushtack.daemon.ingress.CompletionIngress
import org.bulrushtack.daemon.ingress.CompletionResponseBuilder
import org.bulrushtack.daemon.ingress.CompletionSession
import org.bulrushtack.daemon.ingress.StreamedCompletionWriter
import org.bulrushtack.http.HttpExchange

/** Serves `/v1/completions`: parses a caller's request and starts its completion. */
internal class CompletionResource(
    private val authorizer: RequestAuthorizer,
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val ingress: CompletionIngress,
) : Resource {
    override fun handle(exchange: HttpExchange, requestId: String) {
        authorizer.requireWorkspace(exchange = exchange, requestId = requestId) { workspace ->
            CompletionBody.parse(exchange.request.body).fold(
                ifLeft = { authorizer.refuse(exchange = exchange, problem = it, requestId = requestId) },
                ifRight = { accept(exchange = exchange, requestId = requestId, workspace = workspace, body = it) },
            )
        }
    }

    private fun accept(exchange: HttpExchange, requestId: String, workspace: String, body: CompletionBody) {
        val nowMillis = clock.nowMillis()
        val request = CompletionRequest(
            id = requestId,
            workspace = workspace,
            model = body.model,
            promptTokens = body.estimatedPromptTokens,
            maximumTokens = body.maximumTokens,
            receivedAtMillis = nowMillis,
            deadlineAtMillis = nowMillis + deadlineMillis(workspace = workspace, body = body),
        )
        val responses = CompletionResponseBuilder(
            requestId = requestId,
            model = body.model,
            promptTokens = body.estimatedPromptTokens,
        )
        val writer = when {
            body.stream -> StreamedCompletionWriter(exchange = exchange, requestId = requestId, responses = responses)
            else -> BufferedCompletionWriter(exchange = exchange, requestId = requestId, responses = responses)
        }
        val session = CompletionSession(
            request = request,
            prompt = body.prompt,
            writer = writer,
            clock = clock,
            observer = ingress.observer,
        )
        exchange.onClosed { session.abandon() }
        ingress.accept(session)
    }

    private fun deadlineMillis(workspace: String, body: CompletionBody): Long {
        val path = SettingsPath.ROOT.child(SettingsSchema.WORKSPACES).descendant(workspace)
        val seconds = body.deadlineSeconds ?: control.snapshot.tree.number(path, SettingsSchema.DEADLINE_SECONDS)
        return seconds * MILLIS_PER_SECOND
    }
}

private const val MILLIS_PER_SECOND = 1_000L
