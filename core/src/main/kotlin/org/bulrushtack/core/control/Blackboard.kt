package org.bulrushtack.core.control

import org.bulrushtack.core.call.CallsRegion
import org.bulrushtack.core.dispatch.LedgersRegion
import org.bulrushtack.core.log.LogRegion
import org.bulrushtack.core.membership.HeartbeatMessage
import org.bulrushtack.core.membership.MemberDigest
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.core.membership.MembersRegion
import org.bulrushtack.core.request.RequestsRegion

/** The state of one daemon, in regions that the controllers read and write on one thread. */
public class Blackboard(
    public val identity: MemberIdentity,
) {
    public val log: LogRegion = LogRegion()
    public val members: MembersRegion = MembersRegion()
    public val ledgers: LedgersRegion = LedgersRegion()
    public val requests: RequestsRegion = RequestsRegion()
    public val calls: CallsRegion = CallsRegion()

    /** The digest that this daemon reports of itself. */
    public fun digest(): MemberDigest = MemberDigest(
        name = identity.name,
        incarnation = identity.incarnation,
        heartbeatCount = members.heartbeatCount,
        appliedOffset = log.projection.appliedOffset,
        leaving = members.leaving,
    )

    /** The heartbeat or heartbeat reply at [nowMillis]. Its size is bounded, however many daemons there are. */
    public fun heartbeat(nowMillis: Long): HeartbeatMessage = HeartbeatMessage(
        sender = digest(),
        members = members.members.values
            .filter { members.isLive(name = it.digest.name, nowMillis = nowMillis) }
            .sortedByDescending { it.lastHeartbeatAtMillis }
            .take(MAXIMUM_DIGESTS)
            .map { it.digest },
        loads = ledgers.loads(limit = MAXIMUM_LOADS, round = members.heartbeatCount),
        tailOffset = log.tailOffset,
        tailAgeMillis = log.tailAgeMillis(nowMillis),
    )
}

private const val MAXIMUM_DIGESTS = 16
private const val MAXIMUM_LOADS = 16
