package org.bulrushtack.daemon.settings

/** A host by its IP number, and a port; port 0 stands for any free one. */
data class SocketPlace(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}
