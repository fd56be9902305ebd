package org.bulrushtack.daemon.front

import org.bulrushtack.http.HttpExchange

/** Handles the requests of one route. */
internal fun interface Resource {
    /** Responds to the request, or refuses it with a problem. */
    fun handle(exchange: HttpExchange, requestId: String)
}
