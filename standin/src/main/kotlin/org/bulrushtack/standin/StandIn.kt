package org.bulrushtack.standin

import io.netty.channel.EventLoopGroup
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpLimits
import org.bulrushtack.http.HttpServer

/** A running stand-in with its service port and its control port. */
class StandIn private constructor(
    private val group: EventLoopGroup,
    private val service: HttpServer,
    private val control: HttpServer,
) {
    /** The port of the service. */
    val port: Int get() = service.port

    /** The port of the control interface, such as for fault injection. */
    val controlPort: Int get() = control.port

    /** Closes both ports and every connection. */
    fun stop() {
        service.stopAccepting()
        control.stopAccepting()
        group.shutdownGracefully()
    }

    companion object {
        /** Starts both ports, with [service] and [control] as their handlers. */
        fun start(options: ListenOptions, service: HttpHandler, control: HttpHandler): StandIn {
            val group = EventLoops.create(EVENT_LOOP_THREADS)
            val limits = HttpLimits(bodyBytes = MAX_BODY_BYTES)
            return StandIn(
                group = group,
                service = HttpServer.start(group, options.host, options.port, { limits }, service),
                control = HttpServer.start(group, options.host, options.controlPort, { limits }, control),
            )
        }
    }
}

private const val EVENT_LOOP_THREADS = 2
private const val MAX_BODY_BYTES = 64 * 1024 * 1024
