package org.bulrushtack.command

/** Shows the addresses that callers are told to use. */
internal class EntryCommand : OperatorCommand(name = "entry", description = "the addresses that callers use") {
    override fun run() = show(answer = daemon().get("/v1/entry")) { answer ->
        val entries = answer["entries"].flatMap { PhoneText.row(it["address"].asText(), it["dataCentre"].asText()) }
        entries + "keep for ${answer["keepSeconds"].asLong()} s"
    }
}
