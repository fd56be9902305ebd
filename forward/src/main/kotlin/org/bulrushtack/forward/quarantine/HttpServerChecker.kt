package org.bulrushtack.forward.quarantine

import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.wire.ExchangeCodec
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpMessageResponse

/** Asks backend servers over HTTP for their load, which they report at any time, however much work they have. */
internal class HttpServerChecker(
    private val codec: ExchangeCodec,
    private val client: HttpClient,
    private val thread: ForwardThread,
) : ServerChecker {
    override fun check(address: String, onChecked: (ServerCheck) -> Unit) {
        val request = codec.loadReportRequest(address).copy(timeoutMillis = CHECK_TIMEOUT_MILLIS)
        thread.whenDone(client.exchange(request)) { response, _ ->
            onChecked(response?.fold(ifLeft = ::failed, ifRight = ::responded) ?: ServerCheck.Unanswered)
        }
    }

    private fun failed(failure: HttpFailure): ServerCheck =
        if (failure.connectionRefused) ServerCheck.Refused else ServerCheck.Unanswered

    private fun responded(response: HttpMessageResponse): ServerCheck = when (response.status) {
        STATUS_OK -> ServerCheck.Responded(codec.reportedStartMillis(response))
        else -> ServerCheck.Unanswered
    }
}

private const val STATUS_OK = 200

/** About a hundred round trips between data centres. */
private const val CHECK_TIMEOUT_MILLIS = 500L
