package org.bulrushtack.core.dispatch

/** A backend server's load report; it describes a moment some seconds ago. */
public data class ServerReport(
    val incarnation: String,
    val cold: Boolean,
)
