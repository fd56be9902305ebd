package org.bulrushtack.command.explain

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import org.bulrushtack.command.ExitCode
import org.bulrushtack.program.ProgramCommand
import kotlin.system.exitProcess

/** Explains from daemons' logs, which it reads from its standard input, what became of one request. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand : ProgramCommand(
    name = "explain",
    description = "what became of a request, from daemons' logs on standard input",
) {
    private val id by argument(ArgType.String, fullName = "ID", description = "the request's id")

    override fun run() {
        val story = System.`in`.bufferedReader().useLines { lines ->
            RequestStory(id).tell(lines.mapNotNull { LogLineReader.read(it) })
        }
        if (story.isEmpty()) {
            System.err.println("no line is about request $id")
            exitProcess(ExitCode.REFUSED)
        }
        story.forEach { println(it) }
    }
}
