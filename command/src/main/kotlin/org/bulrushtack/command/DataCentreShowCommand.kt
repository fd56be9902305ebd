package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.core.settings.SettingsSchema

/** Shows the data centres with their backend servers. */
internal class DataCentreShowCommand : OperatorCommand(name = "show", description = "the data centres") {
    override fun run() {
        val response = daemonClient().get("/v1/operator/status")
        printResponse(response = response, format = ::format)
    }

    private fun format(status: JsonNode): List<String> {
        val servers = status["servers"].groupBy { it["dataCentre"].asText() }
        return servers.toSortedMap().flatMap { (name, rows) ->
            val live = rows.count { it["state"].asText() == "live" }
            listOf("$name ${stateOf(name)}", "  $live of ${rows.size} backend servers live")
        }
    }

    private fun stateOf(dataCentre: String): String =
        daemonClient().get("/v1/operator/tree?path=/${SettingsSchema.DATA_CENTRES}/$dataCentre").fold(
            ifLeft = { "unknown" },
            ifRight = { branch ->
                branch["settings"].first { it["key"].asText() == SettingsSchema.STATE }["value"].asText()
            },
        )
}
