package org.bulrushtack.program

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A command that runs only after the whole command line was parsed without an error. */
@OptIn(ExperimentalCli::class)
public abstract class ProgramCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    /** Runs the command. */
    public abstract fun run()

    final override fun execute() {
        selected = this
    }

    internal companion object {
        /** The command that the command line selects. */
        var selected: ProgramCommand? = null
    }
}
