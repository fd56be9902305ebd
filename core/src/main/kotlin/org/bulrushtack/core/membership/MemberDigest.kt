package org.bulrushtack.core.membership

/**
 * What one daemon last said of itself, as passed on between daemons.
 *
 * @property heartbeatCount grows while the daemon lives; only its growth proves life
 * @property appliedOffset the offset through which it has applied the log
 */
public data class MemberDigest(
    val name: String,
    val incarnation: String,
    val heartbeatCount: Long,
    val appliedOffset: Long,
    val leaving: Boolean,
)
