package org.bulrushtack.http.budget

/** What a process holds in memory for a connection. */
public enum class Holding {
    /** The connection itself: its socket's object, its codec and buffers. */
    CONNECTIONS,

    /** Bytes of request lines and headers whose end has not arrived. */
    PARTIAL_HEADS,

    /** Header fields of requests, from when they are decoded to when their request has finished. */
    HEADERS,

    /** Bodies of requests. */
    BODIES,

    /** Bytes written for a client that has not taken them. */
    RESPONSES,

    /** Messages of other daemons that are not complete. */
    MESSAGES,
}
