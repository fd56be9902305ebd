package org.bulrushtack.core.membership

/**
 * What this daemon knows of another one.
 *
 * @property firstSeenAtMillis when this incarnation was first heard, by this daemon's monotonic clock
 * @property lastHeartbeatAtMillis when its heartbeat count last grew here
 */
public data class Member(
    val digest: MemberDigest,
    val firstSeenAtMillis: Long,
    val lastHeartbeatAtMillis: Long,
)
