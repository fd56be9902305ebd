package org.bulrushtack.core.placement

import org.bulrushtack.core.route.ServiceProfile

/**
 * A call that needs a plain server.
 *
 * @property kind the kind of call; failures and response times are compared among calls of one kind
 * @property dataCentre the data centre of the daemon that sends it
 * @property excluded the ids of servers that must not get it
 */
public data class PlainCall(
    val service: ServiceProfile,
    val kind: String,
    val dataCentre: String,
    val excluded: Set<String> = emptySet(),
)
