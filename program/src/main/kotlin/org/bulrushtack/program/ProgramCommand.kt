package org.bulrushtack.program

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A command that runs only after the whole command line was found right. */
@OptIn(ExperimentalCli::class)
public abstract class ProgramCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    /** Does the command's work. */
    public abstract fun run()

    final override fun execute() {
        selected = this
    }

    internal companion object {
        /** The command that the command line names. */
        var selected: ProgramCommand? = null
    }
}
