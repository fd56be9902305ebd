package org.bulrushtack.standin

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.bulrushtack.program.CommandLine

/** The program `bulrushtack-standin`. */
@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser(programName = "bulrushtack-standin")
    parser.subcommands(PlatformCommand(), EngineCommand(), ServiceCommand(), EntryVmCommand())
    CommandLine.run(parser = parser, arguments = arguments, program = StandIn::class.java)
}
