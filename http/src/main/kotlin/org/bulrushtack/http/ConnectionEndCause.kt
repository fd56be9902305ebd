package org.bulrushtack.http

import java.io.IOException

/** Why a connection of the server ended. */
public enum class ConnectionEndCause {
    /** After a response that announced the close. */
    ANNOUNCED,

    /** The client closed or reset it. */
    PEER,

    /** No request began, or none became complete, in time. */
    TIMEOUT,

    /** It made no progress while others needed what it held, or for too long. */
    NO_PROGRESS,

    /** After the response to a request that could not be read completely. */
    ERROR_RESPONSE,

    /** The handler broke off its response. */
    ABORTED,

    /** An unexpected error. */
    ERROR,

    /** The process exits. */
    EXIT,

    ;

    internal companion object {
        /** The cause of an end after [failure]: sockets that the client closed fail with an input or output error. */
        fun of(failure: Throwable): ConnectionEndCause = if (failure is IOException) PEER else ERROR
    }
}
