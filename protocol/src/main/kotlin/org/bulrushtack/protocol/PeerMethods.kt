package org.bulrushtack.protocol

import com.google.protobuf.Message
import io.grpc.MethodDescriptor
import io.grpc.protobuf.ProtoUtils

/** The method descriptors of the `Peer` service, which daemons offer to one another. */
public object PeerMethods {
    /** The full name of the service. */
    public const val SERVICE_NAME: String = "bulrushtack.peer.v1.Peer"

    /** One heartbeat and its answer. */
    public val EXCHANGE: MethodDescriptor<Heartbeat, Heartbeat> =
        unary(name = "Exchange", request = Heartbeat.getDefaultInstance(), reply = Heartbeat.getDefaultInstance())

    /** Log records from a peer's memory. */
    public val READ_RECORDS: MethodDescriptor<ReadRecordsRequest, ReadRecordsReply> = unary(
        name = "ReadRecords",
        request = ReadRecordsRequest.getDefaultInstance(),
        reply = ReadRecordsReply.getDefaultInstance(),
    )

    /** One attempt of a completion, answered by a stream of frames. */
    public val EXECUTE: MethodDescriptor<ExecuteRequest, ExecuteFrame> = descriptor(
        type = MethodDescriptor.MethodType.SERVER_STREAMING,
        name = "Execute",
        request = ExecuteRequest.getDefaultInstance(),
        reply = ExecuteFrame.getDefaultInstance(),
    )

    /** One call of a plain service. */
    public val CALL: MethodDescriptor<CallRequest, CallReply> =
        unary(name = "Call", request = CallRequest.getDefaultInstance(), reply = CallReply.getDefaultInstance())

    private fun <Q : Message, R : Message> unary(name: String, request: Q, reply: R): MethodDescriptor<Q, R> =
        descriptor(type = MethodDescriptor.MethodType.UNARY, name = name, request = request, reply = reply)

    private fun <Q : Message, R : Message> descriptor(
        type: MethodDescriptor.MethodType,
        name: String,
        request: Q,
        reply: R,
    ): MethodDescriptor<Q, R> = MethodDescriptor.newBuilder<Q, R>()
        .setType(type)
        .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE_NAME, name))
        .setRequestMarshaller(ProtoUtils.marshaller(request))
        .setResponseMarshaller(ProtoUtils.marshaller(reply))
        .build()
}
