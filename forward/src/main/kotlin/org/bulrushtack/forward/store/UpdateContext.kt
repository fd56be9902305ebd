package org.bulrushtack.forward.store

/**
 * How a store update reached this daemon.
 *
 * @property readAtMillis when the update was read from the store, by whichever daemon, or a little earlier
 * @property dropDelayMillis how long a server whose entry was dropped still counts as present
 * @property source the store, or the name of the daemon that passed on the record
 * @property isRestored whether the update is of an older copy from which the store came back
 * @property unreadMillis the time between that read and the last one before that this daemon knew of
 * @property decodeMillis how long it took to decode the record
 */
internal data class UpdateContext(
    val nowMillis: Long,
    val readAtMillis: Long,
    val dropDelayMillis: Long,
    val source: String,
    val isRestored: Boolean = false,
    val unreadMillis: Long = 0,
    val decodeMillis: Long = 0,
)
