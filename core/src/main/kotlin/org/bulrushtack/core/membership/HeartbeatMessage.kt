package org.bulrushtack.core.membership

/**
 * A heartbeat between daemons, or the reply to one.
 *
 * @property tailOffset the highest tail of the log that is known to the sender
 * @property tailAgeMillis how long ago [tailOffset] was confirmed, or null if the sender never learned a tail
 */
public data class HeartbeatMessage(
    val sender: MemberDigest,
    val members: List<MemberDigest>,
    val loads: List<ServerLoad>,
    val tailOffset: Long,
    val tailAgeMillis: Long?,
)
