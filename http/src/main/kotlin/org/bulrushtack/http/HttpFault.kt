package org.bulrushtack.http

/** A request that never became whole. */
public enum class HttpFault { MALFORMED, HEADERS_TOO_LARGE, BODY_TOO_LARGE, INCOMPLETE }
