package org.bulrushtack.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.program.ProgramCommand
import java.util.concurrent.CountDownLatch

/** Base of the stand-ins' commands: the ports and the registration in the platform's VM list. */
@OptIn(ExperimentalCli::class)
internal abstract class StandInCommand(
    name: String,
    description: String,
) : ProgramCommand(name, description) {
    private val host by option(ArgType.String, description = "IP address to listen on").default("127.0.0.1")
    private val port by option(ArgType.Int, description = "port of the service").default(0)
    private val controlPort by option(ArgType.Int, fullName = "control-port", description = "port for fault injection")
        .default(0)
    private val vmName by option(ArgType.String, fullName = "name", description = "name in the VM list")
    private val dataCentre by option(ArgType.String, fullName = "data-centre", description = "data centre").default("a")
    private val platformControl by option(
        ArgType.String,
        fullName = "register",
        description = "the platform's control address, to register this server in the VM list",
    )

    /** The addresses to listen on. */
    protected fun listenOptions(): ListenOptions = ListenOptions(host = host, port = port, controlPort = controlPort)

    /** Registers the server in the VM list if requested, prints the ports it listens on, and blocks. */
    protected fun registerAndWait(standIn: StandIn, kind: String, serves: String) {
        val row = VmRow(
            name = vmName ?: "$kind-${standIn.port}",
            kind = kind,
            dataCentre = dataCentre,
            http = "$host:${standIn.port}",
            serves = listOf(serves),
        )
        platformControl?.let { row.register(it) }
        println("ready port=${standIn.port} control=${standIn.controlPort}")
        CountDownLatch(1).await()
    }
}
