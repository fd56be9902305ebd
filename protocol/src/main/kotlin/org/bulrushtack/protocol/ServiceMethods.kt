package org.bulrushtack.protocol

import com.google.protobuf.Message
import io.grpc.MethodDescriptor
import io.grpc.protobuf.ProtoUtils

/** Describes the methods of one gRPC service called [serviceName]. */
internal class ServiceMethods(
    private val serviceName: String,
) {
    fun <Q : Message, R : Message> unary(name: String, request: Q, reply: R): MethodDescriptor<Q, R> =
        descriptor(type = MethodDescriptor.MethodType.UNARY, name = name, request = request, reply = reply)

    fun <Q : Message, R : Message> streaming(name: String, request: Q, reply: R): MethodDescriptor<Q, R> =
        descriptor(type = MethodDescriptor.MethodType.SERVER_STREAMING, name = name, request = request, reply = reply)

    private fun <Q : Message, R : Message> descriptor(
        type: MethodDescriptor.MethodType,
        name: String,
        request: Q,
        reply: R,
    ): MethodDescriptor<Q, R> = MethodDescriptor.newBuilder<Q, R>()
        .setType(type)
        .setFullMethodName(MethodDescriptor.generateFullMethodName(serviceName, name))
        .setRequestMarshaller(ProtoUtils.marshaller(request))
        .setResponseMarshaller(ProtoUtils.marshaller(reply))
        .build()
}
