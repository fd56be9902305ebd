package org.bulrushtack.http

/** The IP address of a host, and a port; port 0 stands for any free port. */
public data class HostAndPort(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port`; returns null for a text to which no connection can be opened. */
        public fun parse(text: String): HostAndPort? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').takeIf { it.all { digit -> digit in '0'..'9' } }?.toIntOrNull()
            val isValid = host.isNotEmpty() && host.none { it.isWhitespace() } && port != null && port in VALID_PORTS
            return if (isValid) HostAndPort(host = host, port = checkNotNull(port)) else null
        }
    }
}

@Suppress("MagicNumber")
private val VALID_PORTS = 1..65_535
