package org.bulrushtack.forward.log

import io.github.oshai.kotlinlogging.KLoggingEventBuilder
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level

/**
 * Writes the structured log lines of one part: a prefix, a sentence and named fields. Failures have a budget of their
 * own, so that a busy second never hides them.
 */
class EventLog(
    part: String,
    private val ordinary: LogBudget,
    private val failures: LogBudget,
) {
    private val logger = KotlinLogging.logger("bulrushtack.$part")
    private val prefix = "[$part]"

    /** Writes a line about a decision or a change of belief. */
    fun info(sentence: String, vararg fields: LogField) = info(sentence, fields.asList())

    /** Writes a line about a decision or a change of belief. */
    fun info(sentence: String, fields: List<LogField>) {
        if (ordinary.allows()) logger.at(Level.INFO) { fill(sentence, fields) }
    }

    /** Writes a line about a failure. */
    fun warn(sentence: String, vararg fields: LogField) {
        if (failures.allows()) logger.at(Level.WARN) { fill(sentence, fields.asList()) }
    }

    private fun KLoggingEventBuilder.fill(sentence: String, fields: List<LogField>) {
        message = "$prefix $sentence"
        payload = fields.associate { it.name to it.value }
    }
}
