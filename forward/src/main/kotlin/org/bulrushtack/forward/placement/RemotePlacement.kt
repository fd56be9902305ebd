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

/** One request for a place that another daemon decides. */
internal class RemotePlacement(
    private val request: PlacementRequest,
    private val call: ClientCall<PlaceRequest, PlaceReply>,
    private val onDecision: (PlacementDecision) -> Unit,
    private val onLost: (String) -> Unit,
) : ClientCall.Listener<PlaceReply>() {
    private var ended = false

    /** Whether the other daemon has said anything. */
    var answered: Boolean = false
        private set

    /** Asks. */
    fun start(nowMillis: Long) {
        call.start(this, Metadata())
        call.sendMessage(PlacementMessages.toWire(request, nowMillis))
        call.halfClose()
        call.request(REPLIES)
    }

    /** Takes the request back; nothing more is heard. */
    fun cancel(reason: String) {
        ended = true
        call.cancel(reason, null)
    }

    override fun onMessage(message: PlaceReply) {
        if (ended) return
        answered = true
        val decision = CoordinationMessages.fromWire(request.id, message)
        ended = decision !is PlacementDecision.Waiting
        onDecision(decision)
    }

    override fun onClose(status: Status, trailers: Metadata) {
        if (ended) return
        ended = true
        onLost(status.toString())
    }
}

/** The first reply and, after a wait, the final one. */
private const val REPLIES = 3
