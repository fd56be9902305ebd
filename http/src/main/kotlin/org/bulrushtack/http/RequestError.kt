package org.bulrushtack.http

/** Why a request could not be read completely. */
public enum class RequestError {
    MALFORMED,
    HEADERS_TOO_LARGE,
    BODY_TOO_LARGE,

    /** The memory for request bodies is used up. */
    NO_MEMORY,
    INCOMPLETE,

    /** The handler failed unexpectedly. */
    HANDLER_FAILED,
}
