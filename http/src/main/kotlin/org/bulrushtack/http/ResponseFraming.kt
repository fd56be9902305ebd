package org.bulrushtack.http

/** How the end of a response's body is marked. */
public enum class ResponseFraming {
    /** By the length in its head. */
    LENGTH,

    /** By the last chunk. */
    CHUNKED,

    /** By the end of its connection, which a sender that breaks off reaches as well. */
    CONNECTION_END,

    ;

    public companion object {
        /** The framing that [headers] of a response announce. */
        public fun of(headers: HttpHeaderList): ResponseFraming = when {
            headers.find("transfer-encoding")?.contains("chunked", ignoreCase = true) == true -> CHUNKED
            headers.find("content-length") != null -> LENGTH
            else -> CONNECTION_END
        }
    }
}
