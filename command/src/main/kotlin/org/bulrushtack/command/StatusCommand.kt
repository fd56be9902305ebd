package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode

/** Shows the state of the system as one daemon sees it. */
internal class StatusCommand : OperatorCommand(name = "status", description = "the system as one daemon sees it") {
    override fun run() = printResponse(response = daemonClient().get("/v1/operator/status"), format = ::format)

    private fun format(status: JsonNode): List<String> {
        val behind = status["tailOffset"].asLong() - status["appliedOffset"].asLong()
        val summary = listOf(
            "${status["daemon"].asText()} in ${status["dataCentre"].asText()}",
            "log ${status["appliedOffset"].asLong()}, $behind behind",
            "tail known ${status["tailAgeMillis"].asText()} ms ago",
            "${status["requests"].asInt()} requests, ${status["calls"].asInt()} calls",
        )
        val daemons = status["daemons"].flatMap { row ->
            val state = if (row["live"].asBoolean()) "live" else "SILENT"
            NarrowLayout.row("daemon ${row["name"].asText()}", "$state at ${row["appliedOffset"].asLong()}")
        }
        return summary + daemons + status["servers"].flatMap { serverRow(it) }
    }

    private fun serverRow(row: JsonNode): List<String> {
        val owner = row["owner"].takeUnless { it.isNull }?.asText() ?: "NOBODY"
        return NarrowLayout.row(
            label = "${row["kind"].asText()} ${row["name"].asText()}",
            value = "${row["state"].asText()}, of $owner",
        )
    }
}
