package org.bulrushtack.command.explain

import java.time.Instant

/** Reads the lines that daemons write. */
internal object LogLineReader {
    private val form =
        Regex("""^(?<source>.*?)(?<time>\d{4}-\d\d-\d\dT[\d:.]+Z) (?<level>\w+) +\[(?<part>[\w-]+)] (?<rest>.*)$""")
    private val field = Regex("""([a-z_]+)="([^"]*)"""")

    /** The line that [text] holds, or null when it is none of a daemon's. */
    fun read(text: String): LogLine? {
        val groups = form.find(text)?.groups ?: return null
        fun group(name: String) = groups[name]?.value.orEmpty()
        val rest = group("rest")
        val first = field.find(rest)
        return LogLine(
            time = Instant.parse(group("time")),
            source = group("source").trim().split(' ').last(),
            level = group("level"),
            part = group("part"),
            sentence = rest.substring(0, first?.range?.first ?: rest.length).trim(),
            fields = field.findAll(rest).map { LogLine.Field(it.groupValues[1], it.groupValues[2]) }.toList(),
        )
    }
}
