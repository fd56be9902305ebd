package org.bulrushtack.core.membership

/**
 * The state that one daemon last reported of itself, as daemons gossip it.
 *
 * @property heartbeatCount increases while the daemon is running; only an increase proves that it is alive
 * @property appliedOffset the offset through which it has applied the log
 */
public data class MemberDigest(
    val name: String,
    val incarnation: String,
    val heartbeatCount: Long,
    val appliedOffset: Long,
    val leaving: Boolean,
)
