package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Base of the commands that change the settings tree. */
internal abstract class TreeEditCommand(
    name: String,
    description: String,
) : OperatorCommand(name, description) {
    private val dryRun by option(
        ArgType.Boolean,
        fullName = "dry-run",
        description = "print what would change without changing it",
    ).default(false)

    /** Sends [changes] and prints the resulting changes. */
    protected fun edit(changes: List<Change>) {
        val body = DaemonClient.mapper.createObjectNode().put("dryRun", dryRun)
        body.putArray("changes").addAll(changes.map { toJson(it) })
        printResponse(response = daemonClient().post(path = "/v1/operator/tree", body = body), format = ::format)
    }

    private fun toJson(change: Change): ObjectNode = DaemonClient.mapper.createObjectNode()
        .put("path", change.path)
        .put("key", change.key)
        .put("value", change.value)

    private fun format(response: JsonNode): List<String> {
        val changes = response["changes"].flatMap { row ->
            NarrowLayout.row("${row["path"].asText()}:", row["key"].asText()) +
                NarrowLayout.row("  was", row["before"].asText()) +
                NarrowLayout.row("  now", row["after"].asText())
        }
        return changes + conclusion(response)
    }

    private fun conclusion(response: JsonNode): List<String> {
        val behind = response["behind"].map { it.asText() }
        val accepted = "accepted at ${response["offset"].asLong()}"
        return when {
            response["dryRun"].asBoolean() -> listOf("dry run: nothing was changed")
            behind.isEmpty() -> listOf(accepted, "in force everywhere after ${response["inForceMillis"].asLong()} ms")
            else -> listOf(accepted) + NarrowLayout.row("not confirmed by", behind.joinToString())
        }
    }

    /** One change; a null [value] removes the setting. */
    data class Change(
        val path: String,
        val key: String,
        val value: String?,
    )
}
