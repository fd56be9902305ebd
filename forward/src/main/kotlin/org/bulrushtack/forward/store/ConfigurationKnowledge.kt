package org.bulrushtack.forward.store

import org.bulrushtack.forward.log.LogField

/**
 * The configuration that a daemon goes by at one time.
 *
 * @property version the version in force, or null before the first one
 * @property knownMillis the time since the operators' records were last read to their end, by whichever daemon; null
 *   before the first read
 * @property appliedMillis the time since this daemon applied the version
 * @property source the store, or the name of the daemon that passed the version on
 */
internal data class ConfigurationKnowledge(
    val version: Long? = null,
    val knownMillis: Long? = null,
    val appliedMillis: Long? = null,
    val source: String? = null,
) {
    /** The values as fields of a log line. */
    val fields: List<LogField>
        get() = listOf(
            LogField("version", version),
            LogField("known_millis", knownMillis),
            LogField("applied_millis", appliedMillis),
            LogField("source", source),
        )
}
