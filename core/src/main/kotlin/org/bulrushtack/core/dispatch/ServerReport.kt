package org.bulrushtack.core.dispatch

/** A backend server's load report, which lags behind the server's state by some seconds. */
public data class ServerReport(
    val incarnation: String,
    val cold: Boolean,
)
