package org.bulrushtack.core.fleet

/**
 * The entry of a backend server in the platform's store.
 *
 * @property id usually changes at each start of the server
 * @property address host and port
 * @property slots the number of requests that it processes concurrently
 * @property leaving whether it has announced its shutdown
 * @property coldMillis how long it stays cold from the moment at which the entry is read
 * @property startedAtMillis its start in Unix milliseconds; distinguishes two starts under the same id
 * @property sequence grows with each time that the server writes its entry, from its start on
 */
public data class BackendServerEntry(
    val id: String,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val leaving: Boolean,
    val coldMillis: Long,
    val startedAtMillis: Long,
    val sequence: Long = 0,
)
