package org.bulrushtack.protocol

import io.grpc.MethodDescriptor

/** The method descriptors of the `Coordination` service, by which forwarding daemons act together. */
public object CoordinationMethods {
    /** The full name of the service. */
    public const val SERVICE_NAME: String = "bulrushtack.coordination.v1.Coordination"

    private val methods = ServiceMethods(serviceName = SERVICE_NAME)

    /** A daemon's account of itself, answered by what it has missed. */
    public val SYNC: MethodDescriptor<SyncRequest, SyncReply> = methods.unary(
        name = "Sync",
        request = SyncRequest.getDefaultInstance(),
        reply = SyncReply.getDefaultInstance(),
    )

    /** A request for a place on an engine, answered at once and, after `waiting`, once more. */
    public val PLACE: MethodDescriptor<PlaceRequest, PlaceReply> = methods.streaming(
        name = "Place",
        request = PlaceRequest.getDefaultInstance(),
        reply = PlaceReply.getDefaultInstance(),
    )

    /** The end of a placement. */
    public val RELEASE: MethodDescriptor<ReleaseRequest, ReleaseReply> = methods.unary(
        name = "Release",
        request = ReleaseRequest.getDefaultInstance(),
        reply = ReleaseReply.getDefaultInstance(),
    )

    /** What a daemon has counted, for the daemon that holds the duties. */
    public val REPORT_LOAD: MethodDescriptor<LoadReport, LoadReportReply> = methods.unary(
        name = "ReportLoad",
        request = LoadReport.getDefaultInstance(),
        reply = LoadReportReply.getDefaultInstance(),
    )
}
