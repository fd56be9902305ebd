package org.bulrushtack.forward.store

import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** Logs when nobody has confirmed the configuration for too long, and when it is confirmed again. */
internal class ConfirmationLog(
    private val status: ConfigurationStatus,
    private val sources: KnowledgeSources,
    private val log: EventLog,
) {
    private var unconfirmedFromMillis: Long? = null

    /** Looks at the age of the configuration; called often. */
    fun tick(nowMillis: Long) {
        val confirmedAtMillis = status.confirmedAtMillis ?: return
        val fromMillis = unconfirmedFromMillis
        val isOverdue = nowMillis - confirmedAtMillis >= OVERDUE_MILLIS
        when {
            isOverdue && fromMillis == null -> {
                unconfirmedFromMillis = confirmedAtMillis
                log.warn(
                    "The configuration is not confirmed.",
                    listOf(LogField("known_millis", nowMillis - confirmedAtMillis)) +
                        sources.fields(nowMillis) +
                        LogField("version", status.at(nowMillis).version),
                )
            }
            !isOverdue && fromMillis != null -> {
                unconfirmedFromMillis = null
                log.warn(
                    "The configuration is confirmed again.",
                    listOf(LogField("unconfirmed_millis", nowMillis - fromMillis)) + status.at(nowMillis).fields,
                )
            }
        }
    }
}

/** One read and two missed syncs. */
private val OVERDUE_MILLIS = POLL_INTERVALS_MILLIS.values.min() + PASSING_ON_MILLIS
