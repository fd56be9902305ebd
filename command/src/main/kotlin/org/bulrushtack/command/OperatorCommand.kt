package org.bulrushtack.command

import arrow.core.Either
import com.fasterxml.jackson.databind.JsonNode
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.program.ProgramCommand
import kotlin.system.exitProcess

/** What all commands that ask a daemon share: its address, the key, and the form of the answer. */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorCommand(
    name: String,
    description: String,
) : ProgramCommand(name, description) {
    private val address by option(
        ArgType.String,
        description = "a daemon's IP number and port (or BULRUSHTACK_ADDRESS)",
    ).default(System.getenv("BULRUSHTACK_ADDRESS") ?: "127.0.0.1:8080")
    private val key by option(ArgType.String, description = "the operator's key (or BULRUSHTACK_KEY)")
        .default(System.getenv("BULRUSHTACK_KEY").orEmpty())
    private val json by option(ArgType.Boolean, description = "print the answer as JSON").default(false)

    /** The daemon to ask. */
    protected fun daemon(): DaemonClient = DaemonClient(address = address, key = key)

    /** Prints [answer] as JSON or as [lines], or ends the process with the exit code of the failure. */
    protected fun show(answer: Either<DaemonClient.Failure, JsonNode>, lines: (JsonNode) -> List<String>) {
        answer.fold(
            ifLeft = { failure ->
                System.err.println(failure.text)
                exitProcess(failure.exitCode)
            },
            ifRight = { node -> if (json) println(node.toPrettyString()) else lines(node).forEach { println(it) } },
        )
    }
}
