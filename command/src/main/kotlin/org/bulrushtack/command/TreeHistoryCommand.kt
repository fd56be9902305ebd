package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode
import java.time.Instant

/** Shows the last edits, the newest first. */
internal class TreeHistoryCommand : OperatorCommand(name = "history", description = "the last edits") {
    override fun run() = show(answer = daemon().get("/v1/operator/history"), lines = ::lines)

    private fun lines(history: JsonNode): List<String> = history["edits"].flatMap { edit ->
        val verdict = if (edit["accepted"].asBoolean()) "accepted" else "rejected"
        val at = Instant.ofEpochMilli(edit["atMillis"].asLong()).toString().take(TIME_CHARACTERS)
        listOf("${edit["offset"].asLong()} $at $verdict") +
            PhoneText.row("  by", edit["operator"].asText()) +
            edit["changes"].flatMap { PhoneText.wrap(it.asText(), indent = "  ") }
    }
}

private const val TIME_CHARACTERS = 19
