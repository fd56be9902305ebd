package org.bulrushtack.core.quarantine

/**
 * A lifetime of a backend server that ended under requests that it had not answered yet.
 *
 * @property lifetimeId identifies the lifetime; a server that starts again begins another one, also under the same id
 * @property suspects the prompt parts of those requests that no server is known to have answered
 * @property atMillis when this daemon last learned of a request that the server crashed under
 */
public data class CrashedServer(
    val lifetimeId: String,
    val suspects: Set<String>,
    val atMillis: Long,
)
