package org.bulrushtack.daemon.front

import org.bulrushtack.http.HttpExchange

/** What answers the requests of one path and below. */
internal fun interface Resource {
    /** Answers, or says with which problem the request is refused. */
    fun handle(exchange: HttpExchange, requestId: String)
}
