package org.bulrushtack.command.explain

import org.bulrushtack.command.PhoneText
import java.time.Duration

/** Tells from the lines of several daemons what became of one request. */
internal class RequestStory(
    private val id: String,
) {
    /** The story in the order of the time, for a narrow screen; empty when no line is about the request. */
    fun tell(lines: Sequence<LogLine>): List<String> {
        val own = lines.filter { isAbout(it) }.sortedBy { it.time }.toList()
        val first = own.firstOrNull() ?: return emptyList()
        val told = own.flatMap { line ->
            val sinceMillis = Duration.between(first.time, line.time).toMillis()
            val place = listOf(line.source, line.part).filter { it.isNotEmpty() }.joinToString(" ")
            PhoneText.wrap("+$sinceMillis ms $place") + PhoneText.wrap(line.sentence, INDENT) + fields(line)
        }
        return PhoneText.wrap("request $id") + told + PhoneText.wrap(conclusion(own))
    }

    /** Placement names each try of a request, as ID-0, ID-1 and so on. */
    private fun isAbout(line: LogLine): Boolean {
        val request = line.value(REQUEST) ?: return false
        return request == id || (request.startsWith("$id-") && request.drop(id.length + 1).all { it.isDigit() })
    }

    private fun fields(line: LogLine): List<String> = line.fields
        .filter { it.name != REQUEST && it.value.isNotEmpty() && it.value != "null" }
        .flatMap { PhoneText.row("$INDENT${it.name}", it.value) }

    private fun conclusion(own: List<LogLine>): String {
        val end = own.lastOrNull { it.value("how") != null }
        val refusal = own.lastOrNull { it.value("kind") != null }
        return when {
            end != null -> "it ended: ${end.value("how")}, after ${end.value("age_millis")} ms"
            refusal != null -> "it was refused: ${refusal.value("kind")}"
            else -> "its end is in none of these logs"
        }
    }
}

private const val REQUEST = "request"
private const val INDENT = "  "
