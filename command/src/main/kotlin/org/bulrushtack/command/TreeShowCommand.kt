package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional

/** Shows a branch: each value and where it comes from. */
internal class TreeShowCommand : OperatorCommand(name = "show", description = "a branch with its values") {
    private val path by argument(ArgType.String, fullName = "PATH", description = "such as /workspaces/dock")
        .optional().default("/")

    override fun run() = printResponse(response = daemonClient().get("/v1/operator/tree?path=$path"), format = ::format)

    private fun format(branch: JsonNode): List<String> {
        val settings = branch["settings"].flatMap { row ->
            val value = "${row["value"].asText()} ${row["unit"].asText()}".trim()
            NarrowLayout.row("${row["key"].asText()} =", value) + "  from ${row["source"].asText()}"
        }
        val children = branch["children"].map { "> ${it.asText()}" }
        return listOf(branch["path"].asText()) + settings + children
    }
}
