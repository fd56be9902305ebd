package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.store.ConfigurationKnowledge

/** Logs how requests end, with the configuration by which they were decided. */
internal class RequestLog(
    private val log: EventLog,
) {
    /** Logs that the request was rejected by what the daemon knew at that time. */
    fun recordRejected(requestId: String, kind: ErrorKind, knowledge: ConfigurationKnowledge) = log.info(
        "A request was rejected at admission.",
        listOf(LogField("request", requestId), LogField("kind", kind.code)) +
            knowledge.fields +
            LogField("status", kind.status),
    )

    /** Logs [how] the request of [context] finished after [ageMillis]. */
    fun recordFinished(context: ForwardedRequestContext, how: String, ageMillis: Long) = log.info(
        "A request finished.",
        LogField("request", context.requestId),
        LogField("route", context.route.name),
        LogField("how", how),
        LogField("version", context.knowledge.version),
        LogField("known_millis", context.knowledge.knownMillis),
        LogField("age_millis", ageMillis),
        LogField("objective_millis", context.route.objectiveMillis),
    )
}
