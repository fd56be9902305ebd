package org.bulrushtack.core.error

/** The HTTP statuses that promise callers that their request has not run and never will, so that they may repeat it. */
public object RefusalStatus {
    /** Whether a response with [status] promises that the request has not run. */
    public fun promisesNotRun(status: Int): Boolean = status in REFUSALS
}

/** Request Timeout, Misdirected Request, Too Many Requests, Service Unavailable. */
@Suppress("MagicNumber")
private val REFUSALS = setOf(408, 421, 429, 503)
