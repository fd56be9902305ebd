package org.bulrushtack.forward.log

import io.github.oshai.kotlinlogging.KLoggingEventBuilder
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level

/**
 * Writes the structured log lines of one component: a prefix, a sentence and named fields. Failures have a rate
 * limit of their own, so that a burst of ordinary lines never hides them.
 */
class EventLog(
    component: String,
    private val ordinary: LogRateLimiter,
    private val failures: LogRateLimiter,
) {
    private val logger = KotlinLogging.logger("bulrushtack.$component")
    private val prefix = "[$component]"

    /** Writes a line about a decision or a state change. */
    fun info(sentence: String, vararg fields: LogField) = info(sentence, fields.asList())

    /** Writes a line about a decision or a state change. */
    fun info(sentence: String, fields: List<LogField>) {
        if (ordinary.tryAcquire()) logger.at(Level.INFO) { fill(sentence, fields) }
    }

    /** Writes a line about a failure. */
    fun warn(sentence: String, vararg fields: LogField) = warn(sentence, fields.asList())

    /** Writes a line about a failure. */
    fun warn(sentence: String, fields: List<LogField>) {
        if (failures.tryAcquire()) logger.at(Level.WARN) { fill(sentence, fields) }
    }

    /** Writes a line about an unexpected error with the places in the code that it went through. */
    fun error(sentence: String, cause: Throwable, vararg fields: LogField) = warn(
        sentence,
        *fields,
        LogField("reason", cause.toString()),
        LogField("at", cause.stackTrace.take(MAXIMUM_FRAMES).joinToString(" < ")),
    )

    private fun KLoggingEventBuilder.fill(sentence: String, fields: List<LogField>) {
        message = "$prefix $sentence"
        payload = fields.associate { it.name to it.value }
    }
}

/** Enough to find the place while the line stays readable. */
private const val MAXIMUM_FRAMES = 6
