package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** What the commands share that change the tree. */
internal abstract class TreeEditCommand(
    name: String,
    description: String,
) : OperatorCommand(name, description) {
    private val dryRun by option(
        ArgType.Boolean,
        fullName = "dry-run",
        description = "say what would change and change nothing",
    ).default(false)

    /** Sends [changes] and prints what they changed. */
    protected fun edit(changes: List<Change>) {
        val body = DaemonClient.mapper.createObjectNode().put("dryRun", dryRun)
        body.putArray("changes").addAll(changes.map { row(it) })
        show(answer = daemon().post(path = "/v1/operator/tree", body = body), lines = ::lines)
    }

    private fun row(change: Change): ObjectNode = DaemonClient.mapper.createObjectNode()
        .put("path", change.path)
        .put("key", change.key)
        .put("value", change.value)

    private fun lines(answer: JsonNode): List<String> {
        val changes = answer["changes"].flatMap { row ->
            PhoneText.row("${row["path"].asText()}:", row["key"].asText()) +
                PhoneText.row("  was", row["before"].asText()) +
                PhoneText.row("  now", row["after"].asText())
        }
        return changes + conclusion(answer)
    }

    private fun conclusion(answer: JsonNode): List<String> {
        val behind = answer["behind"].map { it.asText() }
        val accepted = "accepted at ${answer["offset"].asLong()}"
        return when {
            answer["dryRun"].asBoolean() -> listOf("dry run: nothing was changed")
            behind.isEmpty() -> listOf(accepted, "in force everywhere after ${answer["inForceMillis"].asLong()} ms")
            else -> listOf(accepted) + PhoneText.row("not confirmed by", behind.joinToString())
        }
    }

    /** One change; a null [value] removes the setting. */
    data class Change(
        val path: String,
        val key: String,
        val value: String?,
    )
}
