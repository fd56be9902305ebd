package org.bulrushtack.core.dispatch

/** Identifies one attempt of one request. */
public data class WorkId(
    val requestId: String,
    val attempt: Int,
) {
    /** The identifier of the attempt at the backend server. */
    public val serverRequestId: String get() = "$requestId.$attempt"
}
