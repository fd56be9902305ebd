package org.bulrushtack.daemon.front

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.bulrushtack.core.call.IdempotencyKey
import org.bulrushtack.core.call.ServiceCall
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.ingress.CallIngress
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpMessageRequest

/** Serves calls of plain services at `/v1/services/{service}/{operation}`. */
internal class ServiceResource(
    private val authorizer: RequestAuthorizer,
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val wallClock: WallClock,
    private val ingress: CallIngress,
) : Resource {
    override fun handle(exchange: HttpExchange, requestId: String) {
        authorizer.requireWorkspace(exchange = exchange, requestId = requestId) { workspace ->
            parseCall(request = exchange.request, requestId = requestId, workspace = workspace).fold(
                ifLeft = { authorizer.refuse(exchange = exchange, problem = it, requestId = requestId) },
                ifRight = { ingress.accept(call = it, exchange = exchange) },
            )
        }
    }

    private fun parseCall(
        request: HttpMessageRequest,
        requestId: String,
        workspace: String,
    ): Either<Problem, ServiceCall> {
        val names = request.path.removePrefix(PATH).split('/')
        if (names.size != 2 || names.any { !NAME.matches(it) }) return Problem(ErrorKind.UNKNOWN_PATH).left()
        return idempotencyKey(request)
            .map { serviceCall(request = request, requestId = requestId, workspace = workspace, key = it) }
            .mapLeft { Problem(it) }
    }

    private fun idempotencyKey(request: HttpMessageRequest): Either<ErrorKind, IdempotencyKey?> {
        val header = request.headers.find("idempotency-key") ?: return null.right()
        return IdempotencyKey.parse(header)
    }

    private fun serviceCall(
        request: HttpMessageRequest,
        requestId: String,
        workspace: String,
        key: IdempotencyKey?,
    ): ServiceCall {
        val (service, operation) = request.path.removePrefix(PATH).split('/')
        val nowMillis = clock.nowMillis()
        return ServiceCall(
            id = requestId,
            workspace = workspace,
            service = service,
            operation = operation,
            key = key,
            keyAgeMillis = key?.let { wallClock.nowMillis() - it.createdAtMillis },
            fingerprint = Authenticator.hash("$operation\n".toByteArray() + request.body),
            receivedAtMillis = nowMillis,
            deadlineAtMillis = nowMillis + deadlineMillis(service),
        )
    }

    private fun deadlineMillis(service: String): Long {
        val path = SettingsPath.ROOT.child(SettingsSchema.SERVICES).child(service)
        return control.snapshot.tree.number(path, SettingsSchema.DEADLINE_SECONDS) * MILLIS_PER_SECOND
    }

    companion object {
        /** The path below which each service has its own. */
        const val PATH: String = "/v1/services/"
    }
}

private const val MILLIS_PER_SECOND = 1_000L
private val NAME = Regex("[a-z0-9][a-z0-9.-]{0,62}")
