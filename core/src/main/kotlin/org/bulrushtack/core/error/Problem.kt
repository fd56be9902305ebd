package org.bulrushtack.core.error

/**
 * One refusal or failure.
 *
 * @property kind its row in the closed list
 * @property detail one sentence about this case, or an empty string
 */
public data class Problem(
    val kind: ErrorKind,
    val detail: String = "",
)
