package org.bulrushtack.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.standin.service.ServiceOptions
import org.bulrushtack.standin.service.ServiceStandIn

/** Starts a stand-in for a plain service. */
@OptIn(ExperimentalCli::class)
internal class ServiceCommand : StandInCommand(name = "service", description = "a booking or register server") {
    private val defaults = ServiceOptions()
    private val service by option(ArgType.String, description = "service that it offers").default("booking")
    private val workMillis by option(ArgType.Int, fullName = "work-millis", description = "duration of one call")
        .default(defaults.workMillis.toInt())
    private val coldMillis by option(ArgType.Int, fullName = "cold-millis", description = "duration of the cold start")
        .default(defaults.coldMillis.toInt())

    override fun run() {
        val options = ServiceOptions(workMillis = workMillis.toLong(), coldMillis = coldMillis.toLong())
        val standIn = ServiceStandIn(options).start(listenOptions())
        registerAndWait(standIn = standIn, kind = "service", serves = service)
    }
}
