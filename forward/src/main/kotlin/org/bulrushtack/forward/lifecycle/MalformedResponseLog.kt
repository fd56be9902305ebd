package org.bulrushtack.forward.lifecycle

import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.MalformedResponseObserver

/** Logs each malformed response, within the rate limit of [log]. */
internal class MalformedResponseLog(
    private val log: EventLog,
) : MalformedResponseObserver {
    override fun onMalformedResponse(address: String, reason: String) = log.warn(
        "A malformed response was discarded.",
        LogField("address", address),
        LogField("reason", reason),
    )
}
