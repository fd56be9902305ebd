package org.bulrushtack.http

/** A host by its IP number, and a port; port 0 stands for any free one. */
public data class HostAndPort(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"
}
