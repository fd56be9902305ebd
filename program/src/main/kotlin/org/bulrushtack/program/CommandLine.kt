package org.bulrushtack.program

import kotlinx.cli.ArgParser

/** Parses a program's command line: the exit code is 0 for help and version, and [EXIT_USAGE] for a usage error. */
public object CommandLine {
    /** The exit code for a usage error, `EX_USAGE` of sysexits.h. */
    public const val EXIT_USAGE: Int = 64

    /** Parses [arguments] and runs the selected command. */
    public fun run(parser: ArgParser, arguments: Array<String>, program: Class<*>) {
        if (parse(parser = parser, arguments = arguments, program = program)) ProgramCommand.selected?.run()
    }

    /** Parses [arguments]; returns false when the program has nothing more to do. */
    public fun parse(parser: ArgParser, arguments: Array<String>, program: Class<*>): Boolean {
        if ("--version" in arguments) {
            println("${parser.programName} ${program.`package`.implementationVersion ?: "development"}")
            return false
        }
        val wantsHelp = arguments.any { it == "--help" || it == "-h" }
        if (wantsHelp) parser.parse(arguments) else parseOrExit(parser = parser, arguments = arguments)
        return true
    }

    /** Replaces the exit code of the parser, which ends the process itself after an error. */
    private fun parseOrExit(parser: ArgParser, arguments: Array<String>) {
        val runtime = Runtime.getRuntime()
        val exitCodeHook = Thread { runtime.halt(EXIT_USAGE) }
        runtime.addShutdownHook(exitCodeHook)
        parser.parse(arguments)
        runtime.removeShutdownHook(exitCodeHook)
    }
}
