package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.forward.wire.BackendResponseHead
import org.bulrushtack.forward.wire.ExchangeCodec
import org.bulrushtack.http.ClientCall
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.ResponseListener
import java.io.ByteArrayOutputStream

/** One send of a request to one server, on a connection of its own. A success goes to [relay] as it arrives. */
internal class BackendSend(
    private val codec: ExchangeCodec,
    private val attemptId: String,
    private val target: SendTarget,
    private val relay: AnswerRelay,
    private val onEnd: (SendEnd) -> Unit,
) : ResponseListener {
    private var call: ClientCall? = null
    private var ended = false
    private var head: BackendResponseHead? = null
    private var status = 0
    private var headers = HttpHeaderList()
    private val failureBody = ByteArrayOutputStream()

    /** Sends [request]. */
    fun start(client: HttpClient, request: ClientRequest) {
        relay.onWritable { call?.setReading(true) }
        call = client.send(request = request, listener = this)
    }

    /** Breaks it off; nothing more is heard. */
    fun cancel() {
        ended = true
        call?.cancel()
    }

    /** Breaks it off because the server is silent. */
    fun giveUp(reason: String) = breakOff(SendOutcome.UNKNOWN, reason)

    override fun onHead(status: Int, headers: HttpHeaderList) {
        if (ended) return
        val answer = codec.backendResponseHead(status = status, headers = headers, attemptId = attemptId)
        head = answer
        this.status = status
        this.headers = headers
        when {
            answer.isMisdirected -> breakOff(SendOutcome.NOT_RUN, MISDIRECTED)
            answer.isNotExecuted -> breakOff(SendOutcome.NOT_RUN, "not run, status $status")
            !answer.matchesAttempt -> breakOff(SendOutcome.UNKNOWN, "the answer belongs to another request")
            isSuccess && !answer.isSigned -> breakOff(SendOutcome.UNKNOWN, "the answer bears no signature")
            isSuccess -> relay.open(status = status, headers = codec.callerResponseHeaders(headers))
        }
    }

    override fun onData(bytes: ByteArray) {
        if (ended) return
        if (!isSuccess) {
            if (failureBody.size() < MAXIMUM_FAILURE_BYTES) failureBody.writeBytes(bytes)
        } else if (!relay.accept(bytes)) {
            call?.setReading(false)
        }
    }

    override fun onComplete() {
        if (ended) return
        if (isSuccess) {
            relay.complete()
            end(outcome = SendOutcome.DELIVERED, reason = "whole")
        } else {
            end(outcome = SendOutcome.ANSWERED_WITH_FAILURE, reason = "status $status", failure = failure())
        }
    }

    override fun onFailure(failure: HttpFailure) {
        val outcome = if (failure.sent) SendOutcome.UNKNOWN else SendOutcome.NOT_SENT
        end(outcome = outcome, reason = failure.reason)
    }

    private val isSuccess: Boolean get() = status in SUCCESS

    private fun breakOff(outcome: SendOutcome, reason: String) {
        end(outcome = outcome, reason = reason)
        call?.cancel()
    }

    private fun failure() = HttpMessageResponse(
        status = status,
        contentType = null,
        body = failureBody.toByteArray(),
        headers = codec.callerResponseHeaders(headers),
    )

    private fun end(outcome: SendOutcome, reason: String, failure: HttpMessageResponse? = null) {
        if (ended) return
        ended = true
        val faulty = target.idOf(head?.faultyAddress)
        onEnd(SendEnd(outcome = outcome, reason = reason, faultyServerId = faulty, failure = failure))
    }

    companion object {
        /** The reason of a send that met another server at the address. */
        const val MISDIRECTED: String = "another server answers at the address"
    }
}

@Suppress("MagicNumber")
private val SUCCESS = 200..299
private const val MAXIMUM_FAILURE_BYTES = 65_536
