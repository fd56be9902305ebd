package org.bulrushtack.http

/** The IP address of a host, and a port; port 0 stands for any free port. */
public data class HostAndPort(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"
}
