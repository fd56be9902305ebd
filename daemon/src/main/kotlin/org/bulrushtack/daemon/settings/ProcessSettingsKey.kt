package org.bulrushtack.daemon.settings

/**
 * The keys that a daemon's settings file may hold.
 *
 * @property default the value where the file has none; null for a key that must be there
 * @property unit the unit of a number, or an empty string
 */
enum class ProcessSettingsKey(
    val section: String,
    val key: String,
    val default: String?,
    val unit: String,
    val description: String,
) {
    NAME(section = "daemon", key = "name", default = null, unit = "", description = "the VM's name"),
    DATA_CENTRE(
        section = "daemon",
        key = "data-centre",
        default = null,
        unit = "",
        description = "the VM's data centre",
    ),
    LOG_LEVEL(
        section = "daemon",
        key = "log-level",
        default = "info",
        unit = "",
        description = "trace, debug, info, warn or error",
    ),
    NETWORK_THREADS(
        section = "daemon",
        key = "network-threads",
        default = "2",
        unit = "threads",
        description = "threads for the network",
    ),
    DRAIN(
        section = "daemon",
        key = "drain-seconds",
        default = "600",
        unit = "s",
        description = "the longest shutdown",
    ),
    HTTP_LISTEN(
        section = "listen",
        key = "http",
        default = null,
        unit = "",
        description = "IP number and port for callers and operators",
    ),
    PEER_LISTEN(
        section = "listen",
        key = "peer",
        default = null,
        unit = "",
        description = "IP number and port for other daemons",
    ),
    PLATFORM(
        section = "platform",
        key = "address",
        default = null,
        unit = "",
        description = "IP number and port of the platform's service",
    ),
    BOOTSTRAP_KEY_HASH(
        section = "operators",
        key = "bootstrap-key-hash",
        default = "",
        unit = "",
        description = "hash of the operator key that counts while the tree names no operator",
    ),
    BODY_BYTES(
        section = "limits",
        key = "body-bytes",
        default = "8388608",
        unit = "bytes",
        description = "the largest body of a request",
    ),
    HEADER_BYTES(
        section = "limits",
        key = "header-bytes",
        default = "16384",
        unit = "bytes",
        description = "the largest headers of a request",
    ),
    REQUEST_SECONDS(
        section = "limits",
        key = "request-seconds",
        default = "30",
        unit = "s",
        description = "the longest time for a request to arrive",
    ),
    ;

    companion object {
        /** The names of all sections. */
        val sections: Set<String> = entries.map { it.section }.toSet()

        /** The names of the keys of [section]. */
        fun keysOf(section: String): List<String> = entries.filter { it.section == section }.map { it.key }
    }
}
