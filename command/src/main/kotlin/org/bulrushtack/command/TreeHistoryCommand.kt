package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode
import java.time.Instant

/** Shows the last edits, the newest first. */
internal class TreeHistoryCommand : OperatorCommand(name = "history", description = "the last edits") {
    override fun run() = printResponse(response = daemonClient().get("/v1/operator/history"), format = ::format)

    private fun format(history: JsonNode): List<String> = history["edits"].flatMap { edit ->
        val result = if (edit["accepted"].asBoolean()) "accepted" else "rejected"
        val at = Instant.ofEpochMilli(edit["atMillis"].asLong()).toString().take(TIME_CHARACTERS)
        listOf("${edit["offset"].asLong()} $at $result") +
            NarrowLayout.row("  by", edit["operator"].asText()) +
            edit["changes"].flatMap { NarrowLayout.wrap(it.asText(), indent = "  ") }
    }
}

private const val TIME_CHARACTERS = 19
