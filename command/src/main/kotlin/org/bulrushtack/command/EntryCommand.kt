package org.bulrushtack.command

/** Shows the addresses of the daemons that callers can connect to. */
internal class EntryCommand : OperatorCommand(name = "entry", description = "the addresses that callers use") {
    override fun run() = printResponse(response = daemonClient().get("/v1/entry")) { response ->
        val entries = response["entries"].flatMap { row ->
            NarrowLayout.row(label = row["address"].asText(), value = row["dataCentre"].asText())
        }
        entries + "keep for ${response["keepSeconds"].asLong()} s"
    }
}
