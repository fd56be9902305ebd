package org.bulrushtack.core.dispatch

/** One attempt of one request. */
public data class WorkId(
    val requestId: String,
    val attempt: Int,
) {
    /** The identifier that the backend server sees. */
    public val serverRequestId: String get() = "$requestId.$attempt"
}
