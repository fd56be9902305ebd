package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode

/** Shows what one daemon knows of the system. */
internal class StatusCommand : OperatorCommand(name = "status", description = "what a daemon knows of the system") {
    override fun run() = show(answer = daemon().get("/v1/operator/status"), lines = ::lines)

    private fun lines(status: JsonNode): List<String> {
        val behind = status["tailOffset"].asLong() - status["appliedOffset"].asLong()
        val head = listOf(
            "${status["daemon"].asText()} in ${status["dataCentre"].asText()}",
            "log ${status["appliedOffset"].asLong()}, $behind behind",
            "tail known ${status["tailAgeMillis"].asText()} ms ago",
            "${status["requests"].asInt()} requests, ${status["calls"].asInt()} calls",
        )
        val daemons = status["daemons"].flatMap { row ->
            val state = if (row["live"].asBoolean()) "live" else "SILENT"
            PhoneText.row("daemon ${row["name"].asText()}", "$state at ${row["appliedOffset"].asLong()}")
        }
        return head + daemons + status["servers"].flatMap { server(it) }
    }

    private fun server(row: JsonNode): List<String> {
        val owner = row["owner"].takeUnless { it.isNull }?.asText() ?: "NOBODY"
        return PhoneText.row("${row["kind"].asText()} ${row["name"].asText()}", "${row["state"].asText()}, of $owner")
    }
}
