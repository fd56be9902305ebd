package org.bulrushtack.standin

import io.netty.channel.EventLoopGroup
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpLimits
import org.bulrushtack.http.HttpServer

/** The two listening ports of a stand-in. */
class StandIn private constructor(
    private val group: EventLoopGroup,
    private val service: HttpServer,
    private val control: HttpServer,
) {
    /** The port of the service. */
    val port: Int get() = service.port

    /** The port on which faults are switched. */
    val controlPort: Int get() = control.port

    /** Closes both ports and every connection. */
    fun stop() {
        service.stopAccepting()
        control.stopAccepting()
        group.shutdownGracefully()
    }

    companion object {
        /** Listens with [service] and [control] as answers. */
        fun start(options: ListenOptions, service: HttpHandler, control: HttpHandler): StandIn {
            val group = EventLoops.create(THREADS)
            val limits = HttpLimits(bodyBytes = MAXIMUM_BODY_BYTES)
            return StandIn(
                group = group,
                service = HttpServer.start(group, options.host, options.port, { limits }, service),
                control = HttpServer.start(group, options.host, options.controlPort, { limits }, control),
            )
        }
    }
}

private const val THREADS = 2
private const val MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
