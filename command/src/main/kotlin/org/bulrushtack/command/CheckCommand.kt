package org.bulrushtack.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import org.bulrushtack.program.ProgramCommand
import java.nio.file.Path
import kotlin.system.exitProcess

/** Validates a file for `tree import` without contacting a daemon. */
@OptIn(ExperimentalCli::class)
internal class CheckCommand : ProgramCommand(name = "check", description = "check a file for tree import") {
    private val file by argument(ArgType.String, fullName = "FILE", description = "the file")

    override fun run() {
        val errors = TreeFile(Path.of(file)).validationErrors()
        errors.forEach { System.err.println(it) }
        if (errors.isNotEmpty()) exitProcess(ExitCode.REFUSED)
        println("$file: no faults")
    }
}
