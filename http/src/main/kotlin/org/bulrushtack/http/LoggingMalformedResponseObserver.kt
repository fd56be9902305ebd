package org.bulrushtack.http

import io.netty.util.internal.logging.InternalLoggerFactory

/** Logs each malformed response. */
internal object LoggingMalformedResponseObserver : MalformedResponseObserver {
    private val logger = InternalLoggerFactory.getInstance(HttpClient::class.java)

    override fun onMalformedResponse(address: String, reason: String) =
        logger.warn("A malformed response from {} was discarded: {}.", address, reason)
}
