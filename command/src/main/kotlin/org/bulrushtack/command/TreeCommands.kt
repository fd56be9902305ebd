package org.bulrushtack.command

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** Groups the commands for the settings tree. */
@OptIn(ExperimentalCli::class)
internal class TreeCommands : Subcommand(name = "tree", actionDescription = "show and edit the settings tree") {
    init {
        subcommands(
            TreeShowCommand(),
            TreeSetCommand(),
            TreeUnsetCommand(),
            TreeHistoryCommand(),
            TreeExportCommand(),
            TreeImportCommand(),
        )
    }

    override fun execute() = Unit
}
