package org.bulrushtack.command.explain

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import org.bulrushtack.command.ExitCode
import org.bulrushtack.program.ProgramCommand
import kotlin.system.exitProcess

/** Prints the timeline of one request from daemons' logs that it reads from standard input. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand : ProgramCommand(
    name = "explain",
    description = "the timeline of a request, from daemons' logs on standard input",
) {
    private val id by argument(ArgType.String, fullName = "ID", description = "the request's id")

    override fun run() {
        val timeline = System.`in`.bufferedReader().useLines { lines ->
            RequestTimeline(id).render(lines.mapNotNull { LogLineParser.parse(it) })
        }
        if (timeline.isEmpty()) {
            System.err.println("no log line mentions request $id")
            exitProcess(ExitCode.REFUSED)
        }
        timeline.forEach { println(it) }
    }
}
