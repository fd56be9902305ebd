package org.bulrushtack.forward.life

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.wire.EntryCodec
import org.bulrushtack.http.HttpMessageRequest
import org.bulrushtack.http.HttpMessageResponse

/** Tells callers which daemons to connect to, and the platform whether this one is ready. */
internal class EntryQuestions(
    private val state: ForwardState,
    private val codec: EntryCodec,
    private val keepMillis: () -> Long,
    private val clock: MonotonicClock,
) {
    /** Names the daemons that are ready. */
    fun addresses(request: HttpMessageRequest): HttpMessageResponse? {
        if (!codec.asksForAddresses(request)) return null
        val others = state.daemons.live(clock.nowMillis()).filter { it.ready && !it.leaving }.map { it.frontAddress }
        val own = if (state.isReady) listOf(state.daemons.self.frontAddress) else emptyList()
        val addresses = (own + others).distinct().shuffled().take(MAXIMUM_ADDRESSES)
        return if (addresses.isEmpty()) notReady() else codec.addresses(addresses, keepMillis())
    }

    /** Says whether this daemon is ready. */
    fun readiness(request: HttpMessageRequest): HttpMessageResponse? = when {
        !codec.asksForReadiness(request) -> null
        state.isReady -> HttpMessageResponse(status = STATUS_OK, contentType = null)
        else -> notReady()
    }

    private fun notReady(): HttpMessageResponse {
        val kind = if (state.draining) ErrorKind.DRAINING else ErrorKind.NOT_READY
        return ProblemWriter.response(problem = Problem(kind), requestId = "none")
    }
}

/** The most addresses that callers read. */
private const val MAXIMUM_ADDRESSES = 64
private const val STATUS_OK = 200
