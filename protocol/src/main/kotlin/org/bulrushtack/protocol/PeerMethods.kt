package org.bulrushtack.protocol

import io.grpc.MethodDescriptor

/** The method descriptors of the `Peer` service, which daemons offer to one another. */
public object PeerMethods {
    /** The full name of the service. */
    public const val SERVICE_NAME: String = "bulrushtack.peer.v1.Peer"

    private val methods = ServiceMethods(serviceName = SERVICE_NAME)

    /** One heartbeat and its answer. */
    public val EXCHANGE: MethodDescriptor<Heartbeat, Heartbeat> = methods.unary(
        name = "Exchange",
        request = Heartbeat.getDefaultInstance(),
        reply = Heartbeat.getDefaultInstance(),
    )

    /** Log records from a peer's memory. */
    public val READ_RECORDS: MethodDescriptor<ReadRecordsRequest, ReadRecordsReply> = methods.unary(
        name = "ReadRecords",
        request = ReadRecordsRequest.getDefaultInstance(),
        reply = ReadRecordsReply.getDefaultInstance(),
    )

    /** One attempt of a completion, answered by a stream of frames. */
    public val EXECUTE: MethodDescriptor<ExecuteRequest, ExecuteFrame> = methods.streaming(
        name = "Execute",
        request = ExecuteRequest.getDefaultInstance(),
        reply = ExecuteFrame.getDefaultInstance(),
    )

    /** One call of a plain service. */
    public val CALL: MethodDescriptor<CallRequest, CallReply> = methods.unary(
        name = "Call",
        request = CallRequest.getDefaultInstance(),
        reply = CallReply.getDefaultInstance(),
    )
}
