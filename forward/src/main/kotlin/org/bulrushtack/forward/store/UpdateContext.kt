package org.bulrushtack.forward.store

/**
 * How a fact came to this daemon.
 *
 * @property lapseMillis how long a server whose entry was dropped still counts as there
 * @property source the store, or the name of the daemon that passed the record on
 */
internal data class UpdateContext(
    val nowMillis: Long,
    val lapseMillis: Long,
    val source: String,
)
