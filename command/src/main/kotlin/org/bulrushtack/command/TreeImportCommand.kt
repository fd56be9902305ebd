package org.bulrushtack.command

import kotlinx.cli.ArgType
import java.nio.file.Path

/** Sets every value of an INI file in one edit. */
internal class TreeImportCommand : TreeEditCommand(name = "import", description = "set all values of an INI file") {
    private val file by argument(ArgType.String, fullName = "FILE", description = "INI in the form that export prints")

    override fun run() = edit(TreeFile(Path.of(file)).changes())
}
