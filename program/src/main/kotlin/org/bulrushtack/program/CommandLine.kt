package org.bulrushtack.program

import kotlinx.cli.ArgParser

/** Reads a program's command line: the exit code is 0 for help and the version, and [EXIT_USAGE] for wrong use. */
public object CommandLine {
    /** The exit code for wrong use of a program. */
    public const val EXIT_USAGE: Int = 64

    /** Parses [arguments] and runs the command that they name. */
    public fun run(parser: ArgParser, arguments: Array<String>, program: Class<*>) {
        if (parse(parser = parser, arguments = arguments, program = program)) ProgramCommand.selected?.run()
    }

    /** Parses [arguments]; gives false when the program has nothing more to do. */
    public fun parse(parser: ArgParser, arguments: Array<String>, program: Class<*>): Boolean {
        if ("--version" in arguments) {
            println("${parser.programName} ${program.`package`.implementationVersion ?: "development"}")
            return false
        }
        val wantsHelp = arguments.any { it == "--help" || it == "-h" }
        if (wantsHelp) parser.parse(arguments) else parseOrExit(parser = parser, arguments = arguments)
        return true
    }

    /** The parser itself ends the process after an error, with an exit code of its own. */
    private fun parseOrExit(parser: ArgParser, arguments: Array<String>) {
        val runtime = Runtime.getRuntime()
        val correction = Thread { runtime.halt(EXIT_USAGE) }
        runtime.addShutdownHook(correction)
        parser.parse(arguments)
        runtime.removeShutdownHook(correction)
    }
}
