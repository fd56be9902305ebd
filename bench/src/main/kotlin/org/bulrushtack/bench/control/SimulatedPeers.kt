package org.bulrushtack.bench.control

import org.bulrushtack.core.membership.HeartbeatMessage
import org.bulrushtack.core.membership.MemberDigest
import org.bulrushtack.core.membership.ServerLoad
import kotlin.random.Random

/** Generates the heartbeats of the other daemons in a system of a given size. */
internal class SimulatedPeers(
    private val size: SystemSize,
    private val platform: SimulatedPlatform,
    private val random: Random,
) {
    /** A heartbeat of the maximum expected size from a random daemon. */
    fun heartbeat(nowMillis: Long): HeartbeatMessage {
        val others = List(DIGESTS_PER_HEARTBEAT) { 1 + random.nextInt(size.daemons - 1) }.distinct()
        val digests = others.map { digest(number = it, nowMillis = nowMillis) }
        return HeartbeatMessage(
            sender = digests.first(),
            members = digests.drop(1),
            loads = List(LOADS_PER_HEARTBEAT) { load() },
            tailOffset = platform.tailOffset,
            tailAgeMillis = 0,
        )
    }

    private fun digest(number: Int, nowMillis: Long): MemberDigest = MemberDigest(
        name = "vm-$number",
        incarnation = "019a3f29cf06-00000000",
        heartbeatCount = nowMillis,
        appliedOffset = platform.tailOffset,
        leaving = false,
    )

    private fun load(): ServerLoad = ServerLoad(
        server = "engine-${random.nextInt(size.servers)}",
        freeTokens = 300_000,
        capacityTokens = 500_000,
        queuedWorkMillis = 10,
        running = 20,
    )
}

private const val DIGESTS_PER_HEARTBEAT = 17
private const val LOADS_PER_HEARTBEAT = 2
