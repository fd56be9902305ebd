package org.bulrushtack.forward.placement

import io.grpc.ClientCall
import io.grpc.Metadata
import io.grpc.Status
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.forward.peer.CoordinationMessages
import org.bulrushtack.forward.peer.PlacementMessages
import org.bulrushtack.protocol.PlaceReply
import org.bulrushtack.protocol.PlaceRequest

/** A placement request that a peer daemon decides. */
internal class RemotePlacement(
    private val request: PlacementRequest,
    private val call: ClientCall<PlaceRequest, PlaceReply>,
    private val onDecision: (PlacementDecision) -> Unit,
    private val onFailure: (String) -> Unit,
) : ClientCall.Listener<PlaceReply>() {
    private var finished = false

    /** Whether the peer has sent a reply. */
    var replied: Boolean = false
        private set

    /** Sends the request. */
    fun start(nowMillis: Long) {
        call.start(this, Metadata())
        call.sendMessage(PlacementMessages.toWire(request, nowMillis))
        call.halfClose()
        call.request(MAXIMUM_REPLIES)
    }

    /** Cancels the call; neither callback is invoked afterwards. */
    fun cancel(reason: String) {
        finished = true
        call.cancel(reason, null)
    }

    override fun onMessage(message: PlaceReply) {
        if (finished) return
        replied = true
        val decision = CoordinationMessages.fromWire(request.id, message)
        finished = decision !is PlacementDecision.Waiting
        onDecision(decision)
    }

    override fun onClose(status: Status, trailers: Metadata) {
        if (finished) return
        finished = true
        onFailure(status.toString())
    }
}

/** The first reply and, if the request waits, the final one. */
private const val MAXIMUM_REPLIES = 3
