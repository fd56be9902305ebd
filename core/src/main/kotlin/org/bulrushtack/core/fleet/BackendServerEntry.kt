package org.bulrushtack.core.fleet

/**
 * What a backend server says of itself in the platform's store.
 *
 * @property id new at most starts of the server
 * @property address host and port
 * @property slots requests that it works on at the same time
 * @property leaving whether it has announced its end
 * @property coldMillis how long it stays cold from the moment at which the entry is read
 * @property bornAtMillis its start in Unix milliseconds; tells two lives with the same id apart
 */
public data class BackendServerEntry(
    val id: String,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val leaving: Boolean,
    val coldMillis: Long,
    val bornAtMillis: Long,
)
