package org.bulrushtack.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.bulrushtack.bench.control.ControlCommand
import org.bulrushtack.bench.demo.DemoCommand
import org.bulrushtack.bench.load.LoadCommand
import org.bulrushtack.program.CommandLine

/** The program `bench`. */
@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser(programName = "bench")
    parser.subcommands(DemoCommand(), LoadCommand(), ControlCommand())
    CommandLine.run(parser = parser, arguments = arguments, program = BenchClient::class.java)
}
