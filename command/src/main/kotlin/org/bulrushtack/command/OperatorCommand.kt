package org.bulrushtack.command

import arrow.core.Either
import com.fasterxml.jackson.databind.JsonNode
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.program.ProgramCommand
import kotlin.system.exitProcess

/** Base of the commands that send a request to a daemon: its address, the key and the output format. */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorCommand(
    name: String,
    description: String,
) : ProgramCommand(name, description) {
    private val address by option(
        ArgType.String,
        description = "a daemon's IP address and port (or BULRUSHTACK_ADDRESS)",
    ).default(System.getenv("BULRUSHTACK_ADDRESS") ?: "127.0.0.1:8080")
    private val key by option(ArgType.String, description = "the operator's key (or BULRUSHTACK_KEY)")
        .default(System.getenv("BULRUSHTACK_KEY").orEmpty())
    private val json by option(ArgType.Boolean, description = "print the response as JSON").default(false)

    /** The client for the selected daemon. */
    protected fun daemonClient(): DaemonClient = DaemonClient(address = address, key = key)

    /** Prints [response] as JSON or by [format], or exits with the exit code of the failure. */
    protected fun printResponse(response: Either<DaemonClient.Failure, JsonNode>, format: (JsonNode) -> List<String>) {
        response.fold(
            ifLeft = { failure ->
                System.err.println(failure.message)
                exitProcess(failure.exitCode)
            },
            ifRight = { node -> if (json) println(node.toPrettyString()) else format(node).forEach { println(it) } },
        )
    }
}
