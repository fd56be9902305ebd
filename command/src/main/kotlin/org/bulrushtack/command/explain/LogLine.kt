package org.bulrushtack.command.explain

import java.time.Instant

/**
 * One structured line of a daemon's log.
 *
 * @property source what stands before the time, as the name of the VM where a log collector adds it
 */
internal data class LogLine(
    val time: Instant,
    val source: String,
    val level: String,
    val part: String,
    val sentence: String,
    val fields: List<Field>,
) {
    /** The value of the field called [name]. */
    fun value(name: String): String? = fields.firstOrNull { it.name == name }?.value

    /** One named value. */
    data class Field(
        val name: String,
        val value: String,
    )
}
