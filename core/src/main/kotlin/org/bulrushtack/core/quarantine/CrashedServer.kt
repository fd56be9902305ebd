package org.bulrushtack.core.quarantine

/**
 * A backend server that crashed under requests that it had not answered yet.
 *
 * @property serverId the server's id; a server that starts again has a new one
 * @property suspects the prompt parts of those requests that no server is known to have answered
 * @property atMillis when this daemon last learned of a request that the server crashed under
 */
public data class CrashedServer(
    val serverId: String,
    val suspects: Set<String>,
    val atMillis: Long,
)
