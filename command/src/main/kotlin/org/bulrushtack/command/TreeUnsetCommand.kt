package org.bulrushtack.command

import kotlinx.cli.ArgType

/** Removes one value, so that the branch inherits it again. */
internal class TreeUnsetCommand : TreeEditCommand(name = "unset", description = "remove a value, to inherit it again") {
    private val path by argument(ArgType.String, fullName = "PATH", description = "the branch")
    private val key by argument(ArgType.String, fullName = "KEY", description = "the setting")

    override fun run() = edit(listOf(Change(path = path, key = key, value = null)))
}
