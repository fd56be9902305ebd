package org.bulrushtack.command

import kotlinx.cli.ArgType

/** Sets one value of the settings tree. */
internal class TreeSetCommand : TreeEditCommand(name = "set", description = "set a value of a branch") {
    private val path by argument(ArgType.String, fullName = "PATH", description = "the branch")
    private val key by argument(ArgType.String, fullName = "KEY", description = "the setting")
    private val value by argument(ArgType.String, fullName = "VALUE", description = "its new value")

    override fun run() = edit(listOf(Change(path = path, key = key, value = value)))
}
