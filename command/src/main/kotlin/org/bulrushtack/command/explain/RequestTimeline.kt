package org.bulrushtack.command.explain

import org.bulrushtack.command.NarrowLayout
import java.time.Duration

/** Builds the timeline of one request from the log lines of several daemons. */
internal class RequestTimeline(
    private val id: String,
) {
    /** The timeline in order of time, for a narrow screen; empty when no line belongs to the request. */
    fun render(lines: Sequence<LogLine>): List<String> {
        val requestLines = lines.filter { belongsToRequest(it) }.sortedBy { it.time }.toList()
        val first = requestLines.firstOrNull() ?: return emptyList()
        val steps = requestLines.flatMap { line ->
            val sinceMillis = Duration.between(first.time, line.time).toMillis()
            val origin = listOf(line.source, line.component).filter { it.isNotEmpty() }.joinToString(" ")
            NarrowLayout.wrap("+$sinceMillis ms $origin") + NarrowLayout.wrap(line.message, INDENT) + fields(line)
        }
        return NarrowLayout.wrap("request $id") + steps + NarrowLayout.wrap(conclusion(requestLines))
    }

    /** Placement logs each attempt of a request under its own id: ID-0, ID-1 and so on. */
    private fun belongsToRequest(line: LogLine): Boolean {
        val request = line.value(REQUEST_FIELD) ?: return false
        return request == id || (request.startsWith("$id-") && request.drop(id.length + 1).all { it.isDigit() })
    }

    private fun fields(line: LogLine): List<String> = line.fields
        .filter { it.name != REQUEST_FIELD && it.value.isNotEmpty() && it.value != "null" }
        .flatMap { NarrowLayout.row("$INDENT${it.name}", it.value) }

    private fun conclusion(requestLines: List<LogLine>): String {
        val finish = requestLines.lastOrNull { it.value("how") != null }
        val refusal = requestLines.lastOrNull { it.value("kind") != null }
        return when {
            finish != null -> "it ended: ${finish.value("how")}, after ${finish.value("age_millis")} ms"
            refusal != null -> "it was refused: ${refusal.value("kind")}"
            else -> "its end is in none of these logs"
        }
    }
}

private const val REQUEST_FIELD = "request"
private const val INDENT = "  "
