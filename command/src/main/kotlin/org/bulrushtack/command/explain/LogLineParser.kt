package org.bulrushtack.command.explain

import java.time.Instant

/** Parses the log lines that daemons write. */
internal object LogLineParser {
    private val linePattern = Regex(
        """^(?<source>.*?)(?<time>\d{4}-\d\d-\d\dT[\d:.]+Z) (?<level>\w+) +\[(?<component>[\w-]+)] (?<rest>.*)$""",
    )
    private val fieldPattern = Regex("""([a-z_]+)="([^"]*)"""")

    /** The log line in [text], or null when it does not have the form of a daemon's line. */
    fun parse(text: String): LogLine? {
        val groups = linePattern.find(text)?.groups ?: return null
        fun group(name: String) = groups[name]?.value.orEmpty()
        val rest = group("rest")
        val firstField = fieldPattern.find(rest)
        return LogLine(
            time = Instant.parse(group("time")),
            source = group("source").trim().split(' ').last(),
            level = group("level"),
            component = group("component"),
            message = rest.substring(0, firstField?.range?.first ?: rest.length).trim(),
            fields = fieldPattern.findAll(rest).map { LogLine.Field(it.groupValues[1], it.groupValues[2]) }.toList(),
        )
    }
}
