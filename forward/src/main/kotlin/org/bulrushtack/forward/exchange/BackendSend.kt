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
import org.bulrushtack.http.ResponseFraming
import org.bulrushtack.http.ResponseListener

/** One send of a request to one server, on its own connection. A success is passed to [relay] as it arrives. */
internal class BackendSend(
    private val codec: ExchangeCodec,
    private val attemptId: String,
    private val target: SendTarget,
    private val relay: ResponseRelay,
    private val failureBody: FailureBody,
    private val listener: Listener,
) : ResponseListener {
    private var call: ClientCall? = null
    private var isFinished = false
    private var head: BackendResponseHead? = null
    private var status = 0
    private var headers = HttpHeaderList()

    /** Whether any byte of the request may have reached the server; false while the connection is being opened. */
    val isSent: Boolean get() = call?.isSent ?: false

    /** Sends [request] if it may still be written once the connection is open. */
    fun start(client: HttpClient, request: ClientRequest) {
        relay.onWritable { call?.setReading(true) }
        call = client.send(request = request, listener = this, mayWrite = listener::mayWrite)
    }

    /** Cancels the send without reporting a result. */
    fun cancel() {
        isFinished = true
        call?.cancel()
    }

    /** Cancels the send because the server is unresponsive, and reports the outcome as unknown. */
    fun timeOut(reason: String) = abort(SendOutcome.UNKNOWN, reason)

    override fun onHead(status: Int, headers: HttpHeaderList) {
        if (isFinished) return
        val response = codec.backendResponseHead(status = status, headers = headers, attemptId = attemptId)
        head = response
        this.status = status
        this.headers = headers
        if (response.isLeaving) listener.onLeaving()
        when {
            response.isMisdirected -> abort(SendOutcome.NOT_RUN, MISDIRECTED)
            response.isNotExecuted -> abort(SendOutcome.NOT_RUN, "not executed, status $status")
            !response.matchesAttempt -> abort(SendOutcome.UNKNOWN, "the response belongs to another attempt")
            isSuccess && !response.isSigned -> abort(SendOutcome.UNKNOWN, "the response has no server signature")
            else -> {
                relay.onExecuted()
                if (isSuccess) relay.open(status = status, headers = codec.callerResponseHeaders(headers))
            }
        }
    }

    override fun onData(bytes: ByteArray) {
        if (isFinished) return
        when (if (isSuccess) relay.accept(bytes) else failureBody.accept(bytes)) {
            RelayState.READY -> Unit
            RelayState.BLOCKED -> call?.setReading(false)
            RelayState.INVALID -> abort(SendOutcome.UNKNOWN, "bytes that can't be part of the response")
        }
    }

    override fun onComplete() {
        if (isFinished) return
        when {
            !isSuccess ->
                finish(outcome = SendOutcome.ANSWERED_WITH_FAILURE, reason = "status $status", failure = failure())
            relay.isCutShort(ResponseFraming.of(headers)) ->
                finish(SendOutcome.UNKNOWN, "the response ended before its last event was complete", isBrokenOff = true)
            else -> {
                relay.complete()
                finish(outcome = SendOutcome.DELIVERED, reason = "whole")
            }
        }
    }

    override fun onFailure(failure: HttpFailure) {
        val outcome = if (failure.sent) SendOutcome.UNKNOWN else SendOutcome.NOT_SENT
        finish(outcome = outcome, reason = failure.reason, isBrokenOff = failure.closedByPeer)
    }

    private val isSuccess: Boolean get() = status in SUCCESS

    private fun abort(outcome: SendOutcome, reason: String) {
        finish(outcome = outcome, reason = reason)
        call?.cancel()
    }

    private fun failure() = HttpMessageResponse(
        status = status,
        contentType = null,
        body = failureBody.toByteArray(),
        headers = codec.callerResponseHeaders(headers),
    )

    private fun finish(
        outcome: SendOutcome,
        reason: String,
        failure: HttpMessageResponse? = null,
        isBrokenOff: Boolean = false,
    ) {
        if (isFinished) return
        isFinished = true
        listener.onFinished(
            SendResult(
                outcome = outcome,
                reason = reason,
                serverId = target.responsibleServerId(head?.faultyAddress),
                failure = failure,
                isBrokenOff = isBrokenOff,
                framing = head?.let { ResponseFraming.of(headers) },
                unfinishedBytes = if (head == null) 0 else relay.unfinishedBytes,
            ),
        )
    }

    /** Decides whether the request is written, and receives what becomes of it. */
    interface Listener {
        /** Whether the request may still be written, as its connection is open. */
        fun mayWrite(): Boolean

        /** The server says in its response that it leaves; the result follows. */
        fun onLeaving()

        /** The send has ended with [result]. */
        fun onFinished(result: SendResult)
    }

    companion object {
        /** The reason of a send that reached a server other than the expected one. */
        const val MISDIRECTED: String = "another server responds at the address"
    }
}

@Suppress("MagicNumber")
private val SUCCESS = 200..299
