package org.bulrushtack.command.explain

import java.time.Instant

/**
 * One structured line of a daemon's log.
 *
 * @property source the last word before the time, such as the VM name that a log collector adds
 */
internal data class LogLine(
    val time: Instant,
    val source: String,
    val level: String,
    val component: String,
    val message: String,
    val fields: List<Field>,
) {
    /** The value of the first field called [name], or null. */
    fun value(name: String): String? = fields.firstOrNull { it.name == name }?.value

    /** A named value of the line. */
    data class Field(
        val name: String,
        val value: String,
    )
}
