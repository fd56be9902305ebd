package org.bulrushtack.command

import kotlinx.cli.ArgType
import org.bulrushtack.core.settings.SettingsSchema

/** Takes a data centre out of service or brings it back. */
internal class DataCentreStateCommand(
    name: String,
    description: String,
    private val state: String,
) : TreeEditCommand(name, description) {
    private val dataCentre by argument(ArgType.String, fullName = "NAME", description = "the data centre")

    override fun run() {
        val path = "/${SettingsSchema.DATA_CENTRES}/$dataCentre"
        edit(listOf(Change(path = path, key = SettingsSchema.STATE, value = state)))
    }
}
