package org.bulrushtack.http

/** Why a request never became whole. */
public enum class RequestError {
    MALFORMED,
    HEADERS_TOO_LARGE,
    BODY_TOO_LARGE,

    /** The process holds as many bodies as it can. */
    NO_MEMORY,
    INCOMPLETE,
}
