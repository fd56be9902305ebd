package org.bulrushtack.command

import com.fasterxml.jackson.databind.JsonNode
import org.apache.commons.configuration2.INIConfiguration
import java.io.StringWriter

/** Prints every value that is set, as INI; hashes of keys are among them. */
internal class TreeExportCommand : OperatorCommand(name = "export", description = "print the tree as INI") {
    override fun run() = show(answer = daemon().get("/v1/operator/export"), lines = ::lines)

    private fun lines(answer: JsonNode): List<String> {
        val ini = INIConfiguration()
        answer["values"].forEach { row ->
            ini.getSection(row["path"].asText()).setProperty(row["key"].asText(), row["value"].asText())
        }
        val text = StringWriter()
        ini.write(text)
        return text.toString().trimEnd().lines()
    }
}
