package org.bulrushtack.http

import io.netty.channel.Channel
import org.bulrushtack.http.budget.ConnectionOwner

/** Ends what the HTTP connection [channel] does when the budget needs it; [fail] refuses an unfinished request. */
internal class HttpConnectionOwner(
    private val channel: Channel,
    private val closer: ConnectionCloser,
    private val isBusy: () -> Boolean,
    private val hasBegun: () -> Boolean,
    private val fail: (RequestError) -> Unit,
) : ConnectionOwner {
    override val isArriving: Boolean get() = !isBusy() && !closer.isClosing && hasBegun()
    override val isWorking: Boolean get() = isBusy()

    override fun refuse(isLate: Boolean) {
        if (isArriving) fail(if (isLate) RequestError.INCOMPLETE else RequestError.NO_MEMORY)
    }

    override fun close() {
        closer.closing(ConnectionEndCause.NO_PROGRESS)
        channel.close()
    }

    override fun resume() {
        if (!isBusy() && !closer.isClosing) channel.config().isAutoRead = true
    }
}
