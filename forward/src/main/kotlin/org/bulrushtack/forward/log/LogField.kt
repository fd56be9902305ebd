package org.bulrushtack.forward.log

/** One named value of a log line. */
data class LogField(
    val name: String,
    val value: Any?,
)
