package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode
import org.apache.commons.configuration2.INIConfiguration
import java.io.StringWriter

/** Prints all set values as INI, including the hashes of keys. */
internal class TreeExportCommand : OperatorCommand(name = "export", description = "print the tree as INI") {
    override fun run() = printResponse(response = daemonClient().get("/v1/operator/export"), format = ::format)

    private fun format(response: JsonNode): List<String> {
        val ini = INIConfiguration()
        response["values"].forEach { row ->
            ini.getSection(row["path"].asText()).setProperty(row["key"].asText(), row["value"].asText())
        }
        val text = StringWriter()
        ini.write(text)
        return text.toString().trimEnd().lines()
    }
}
