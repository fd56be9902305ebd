package org.bulrushtack.daemon

import io.github.oshai.kotlinlogging.KotlinLogging

/** Logs for one component of the daemon, with the component's name in brackets in front of each message. */
class ComponentLog(
    component: String,
) {
    private val logger = KotlinLogging.logger("bulrushtack.$component")
    private val prefix = "[$component]"

    /** Logs a detail that an operator may want to trace. */
    fun debug(text: () -> String) = logger.debug { "$prefix ${text()}" }

    /** Logs a change of state. */
    fun info(text: () -> String) = logger.info { "$prefix ${text()}" }

    /** Logs a condition that an operator should look into. */
    fun warn(text: () -> String) = logger.warn { "$prefix ${text()}" }
}
