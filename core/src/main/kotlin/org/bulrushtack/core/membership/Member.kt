package org.bulrushtack.core.membership

/**
 * What this daemon knows of another one.
 *
 * @property firstHeardAtMillis when this incarnation was first heard, by this daemon's monotonic clock
 * @property lastAdvanceAtMillis when its heartbeat count last grew here
 */
public data class Member(
    val digest: MemberDigest,
    val firstHeardAtMillis: Long,
    val lastAdvanceAtMillis: Long,
)
