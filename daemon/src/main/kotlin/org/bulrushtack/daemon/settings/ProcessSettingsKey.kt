package org.bulrushtack.daemon.settings

/** The keys of the settings file of an entry daemon. */
enum class ProcessSettingsKey(
    override val section: String,
    override val key: String,
    override val default: String?,
    override val unit: String,
    override val description: String,
) : SettingsKey {
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
        description = "the maximum time for a graceful shutdown",
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
        description = "hash of the operator key that is valid while the settings tree has no operator",
    ),
    BODY_BYTES(
        section = "limits",
        key = "body-bytes",
        default = "8388608",
        unit = "bytes",
        description = "the maximum size of a request body",
    ),
    HEADER_BYTES(
        section = "limits",
        key = "header-bytes",
        default = "16384",
        unit = "bytes",
        description = "the maximum size of the headers of a request",
    ),
    REQUEST_SECONDS(
        section = "limits",
        key = "request-seconds",
        default = "30",
        unit = "s",
        description = "the maximum time in which a request must arrive",
    ),
}
