package org.bulrushtack.core.membership

/**
 * This daemon's entry for another daemon. Both times are by this daemon's monotonic clock.
 *
 * @property firstSeenAtMillis when a digest of this incarnation first arrived
 * @property lastHeartbeatAtMillis when a digest with a higher heartbeat count last arrived
 */
public data class Member(
    val digest: MemberDigest,
    val firstSeenAtMillis: Long,
    val lastHeartbeatAtMillis: Long,
)
