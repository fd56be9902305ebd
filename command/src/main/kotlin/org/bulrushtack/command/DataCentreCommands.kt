package org.bulrushtack.command

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.bulrushtack.core.settings.SettingsSchema

/** Groups the commands for data centres. */
@OptIn(ExperimentalCli::class)
internal class DataCentreCommands : Subcommand(name = "data-centre", actionDescription = "take out, bring back, show") {
    init {
        subcommands(
            DataCentreStateCommand(name = "take-out", description = "send no new work", SettingsSchema.STATE_OUT),
            DataCentreStateCommand(name = "bring-back", description = "send work again", SettingsSchema.STATE_IN),
            DataCentreShowCommand(),
        )
    }

    override fun execute() = Unit
}
