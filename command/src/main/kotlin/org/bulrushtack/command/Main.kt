package org.bulrushtack.command

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.bulrushtack.command.explain.ExplainCommand
import org.bulrushtack.program.CommandLine

/** The program `bulrushtack`. */
@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser(programName = "bulrushtack")
    parser.subcommands(
        TreeCommands(),
        DataCentreCommands(),
        StatusCommand(),
        EntryCommand(),
        KeyCommand(),
        CheckCommand(),
        ExplainCommand(),
    )
    CommandLine.run(parser = parser, arguments = arguments, program = OperatorCommand::class.java)
}
