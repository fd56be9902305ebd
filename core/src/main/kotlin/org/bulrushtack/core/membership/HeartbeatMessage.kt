package org.bulrushtack.core.membership

/**
 * One heartbeat between daemons, or its answer.
 *
 * @property tailOffset the highest tail of the log that the sender knows of
 * @property tailAgeMillis how old that knowledge is at the sender; null when it has none
 */
public data class HeartbeatMessage(
    val sender: MemberDigest,
    val members: List<MemberDigest>,
    val loads: List<ServerLoad>,
    val tailOffset: Long,
    val tailAgeMillis: Long?,
)
