package org.bulrushtack.forward.duty

import org.bulrushtack.forward.DutySettings
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.wire.DutyCall
import org.bulrushtack.forward.wire.DutyCodec
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseListener

/**
 * Calls the platform's duty address over HTTP, each call on a connection of its own, so that no late response can be
 * taken for that of another call. The status alone decides, unless the response is malformed; a body that does not end
 * changes nothing.
 *
 * @param holder the name of this VM
 */
internal class HttpDutyAddress(
    private val client: HttpClient,
    private val settings: DutySettings,
    private val codec: DutyCodec,
    private val holder: String,
    private val environment: DutyEnvironment,
) : DutyAddress {
    private val sentAtMillis = ArrayDeque<Long>()

    override fun send(call: DutyCall, token: Long, onDone: (DutyCallResult) -> Unit) {
        val nowMillis = environment.thread.nowMillis()
        while (sentAtMillis.isNotEmpty() && nowMillis - sentAtMillis.first() >= LIMIT_MILLIS) sentAtMillis.removeFirst()
        if (sentAtMillis.size >= maxOf(1.0, settings.callsPerSecond)) {
            onDone(DutyCallResult.RATE_LIMITED)
            return
        }
        sentAtMillis.addLast(nowMillis)
        val request = ClientRequest(
            method = "POST",
            address = settings.address.toString(),
            path = call.path,
            headers = HttpHeaderList(codec.headers(holder, token)),
            body = call.body,
            dedicatedConnection = true,
            maximumResponseBytes = MAXIMUM_RESPONSE_BYTES,
            timeoutMillis = CALL_TIMEOUT_MILLIS,
        )
        client.send(request, Listener(call, onDone))
    }

    private inner class Listener(
        private val call: DutyCall,
        private val onDone: (DutyCallResult) -> Unit,
    ) : ResponseListener {
        private var status: Int? = null

        override fun onHead(status: Int, headers: HttpHeaderList) {
            this.status = status
        }

        override fun onData(bytes: ByteArray) = Unit

        override fun onComplete() = finish(status?.let { result(it) } ?: DutyCallResult.UNKNOWN, reason = null)

        override fun onFailure(failure: HttpFailure) {
            val unanswered = if (failure.sent) DutyCallResult.UNKNOWN else DutyCallResult.NOT_SENT
            finish(status?.takeUnless { failure.malformed }?.let { result(it) } ?: unanswered, failure.reason)
        }

        private fun finish(result: DutyCallResult, reason: String?) = environment.thread.guard {
            if (result != DutyCallResult.ACCEPTED || reason != null) {
                environment.log.warn(
                    "A duty call got no proper response.",
                    LogField("path", call.path),
                    LogField("status", status),
                    LogField("result", result.name.lowercase()),
                    LogField("reason", reason),
                )
            }
            onDone(result)
        }
    }

    private fun result(status: Int): DutyCallResult = when (status) {
        in SUCCESS -> DutyCallResult.ACCEPTED
        STATUS_CONFLICT -> DutyCallResult.FENCED
        STATUS_TOO_MANY_REQUESTS -> DutyCallResult.RATE_LIMITED
        STATUS_BAD_GATEWAY, STATUS_GATEWAY_TIMEOUT -> DutyCallResult.UNKNOWN
        else -> DutyCallResult.REFUSED
    }
}

private const val CALL_TIMEOUT_MILLIS = 800L
private const val LIMIT_MILLIS = 1_000L

/** The bodies are not read; a longer one has no use. */
private const val MAXIMUM_RESPONSE_BYTES = 65_536L
private const val STATUS_CONFLICT = 409
private const val STATUS_TOO_MANY_REQUESTS = 429
private const val STATUS_BAD_GATEWAY = 502
private const val STATUS_GATEWAY_TIMEOUT = 504

@Suppress("MagicNumber")
private val SUCCESS = 200..299
