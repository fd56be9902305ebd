package org.bulrushtack.standin

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.bulrushtack.program.ProgramLine
import java.util.concurrent.CountDownLatch

/** The program `bulrushtack-standin`. */
@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser(programName = "bulrushtack-standin")
    parser.subcommands(PlatformCommand(), EngineCommand(), ServiceCommand())
    if (!ProgramLine.parse(parser = parser, arguments = arguments, program = StandIn::class.java)) return
    CountDownLatch(1).await()
}
