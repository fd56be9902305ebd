package org.bulrushtack.forward.peer

import io.grpc.Grpc
import io.grpc.Metadata
import io.grpc.ServerStreamTracer
import io.grpc.Status
import org.bulrushtack.http.budget.MessageAccount
import org.bulrushtack.http.budget.ResourceBudget

/** Counts messages from peers that are not complete in [budget]; gRPC itself bounds only each one. */
internal class MessageTracers(
    private val budget: ResourceBudget,
) : ServerStreamTracer.Factory() {
    override fun newServerStreamTracer(fullMethodName: String, headers: Metadata): ServerStreamTracer = Tracer()

    private inner class Tracer : ServerStreamTracer() {
        private var account: MessageAccount? = null
        private var unfinishedBytes = 0L

        override fun serverCallStarted(callInfo: ServerCallInfo<*, *>) {
            account = budget.messages(callInfo.attributes.get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR))
        }

        override fun inboundWireSize(bytes: Long) {
            unfinishedBytes += bytes
            account?.hold(bytes)
        }

        override fun inboundMessageRead(seqNo: Int, optionalWireSize: Long, optionalUncompressedSize: Long) = release()

        override fun streamClosed(status: Status) = release()

        private fun release() {
            account?.release(unfinishedBytes)
            unfinishedBytes = 0
        }
    }
}
