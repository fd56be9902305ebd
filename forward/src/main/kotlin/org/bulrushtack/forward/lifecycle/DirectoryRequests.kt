package org.bulrushtack.forward.lifecycle

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.daemon.DirectorySelection
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.wire.DirectoryCodec
import org.bulrushtack.http.HttpMessageRequest
import org.bulrushtack.http.HttpMessageResponse

/** Answers address lookups of callers and readiness checks of the platform. */
internal class DirectoryRequests(
    private val state: ForwardState,
    private val codec: DirectoryCodec,
    private val keepMillis: () -> Long,
    private val selection: DirectorySelection,
    private val clock: MonotonicClock,
) {
    /** The response that names the daemons that are ready, or null when [request] is no address lookup. */
    fun addresses(request: HttpMessageRequest): HttpMessageResponse? {
        if (!codec.isAddressRequest(request)) return null
        val others = state.daemons.live(clock.nowMillis()).filter { it.ready && !it.leaving }
        val own = if (state.isReady) listOf(state.daemons.self) else emptyList()
        val addresses = selection.select((own + others).distinctBy { it.frontAddress }).map { it.frontAddress }
        return if (addresses.isEmpty()) notReady() else codec.addressResponse(addresses, keepMillis())
    }

    /** The response that tells whether this daemon is ready, or null when [request] is no readiness check. */
    fun readiness(request: HttpMessageRequest): HttpMessageResponse? = when {
        !codec.isReadinessRequest(request) -> null
        state.isReady -> HttpMessageResponse(status = STATUS_OK, contentType = null)
        else -> notReady()
    }

    private fun notReady(): HttpMessageResponse {
        val kind = if (state.draining) ErrorKind.DRAINING else ErrorKind.NOT_READY
        return ProblemWriter.response(problem = Problem(kind), requestId = "none")
    }
}

private const val STATUS_OK = 200
