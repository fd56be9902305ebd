package org.bulrushtack.daemon

import io.github.oshai.kotlinlogging.KotlinLogging

/** Writes the log lines of one part of the daemon, each as a short sentence behind the part's fixed prefix. */
class PartLog(
    part: String,
) {
    private val logger = KotlinLogging.logger("bulrushtack.$part")
    private val prefix = "[$part]"

    /** Writes a line about something that an operator may want to trace. */
    fun debug(text: () -> String) = logger.debug { "$prefix ${text()}" }

    /** Writes a line about a change of state. */
    fun info(text: () -> String) = logger.info { "$prefix ${text()}" }

    /** Writes a line about something that an operator should look at. */
    fun warn(text: () -> String) = logger.warn { "$prefix ${text()}" }
}
