package org.bulrushtack.core.error

/**
 * An error that a caller gets, or that one daemon reports to another.
 *
 * @property detail one sentence about this occurrence, or an empty string
 */
public data class Problem(
    val kind: ErrorKind,
    val detail: String = "",
)
