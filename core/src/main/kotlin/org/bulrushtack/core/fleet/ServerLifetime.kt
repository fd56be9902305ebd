package org.bulrushtack.core.fleet

/**
 * One run of a backend server, from its start to its end. A server may start again under the id that it had.
 *
 * @property serverId the id under which it is registered
 * @property startedAtMillis its start in Unix milliseconds, 0 if it is not known
 */
public data class ServerLifetime(
    val serverId: String,
    val startedAtMillis: Long,
) {
    /** Whether a start at [otherStartedAtMillis] is that of another lifetime; not if either is unknown. */
    public fun isOther(otherStartedAtMillis: Long): Boolean =
        startedAtMillis > 0 && otherStartedAtMillis > 0 && startedAtMillis != otherStartedAtMillis

    /** Identifies the lifetime in a record. */
    override fun toString(): String = "$serverId:$startedAtMillis"
}
