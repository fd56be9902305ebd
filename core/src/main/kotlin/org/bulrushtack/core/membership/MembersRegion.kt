package org.bulrushtack.core.membership

/** The part of the blackboard that holds the VM list and the other daemons. Written by [MembershipController]. */
public class MembersRegion {
    /** The last VM list, by name. */
    public var vms: Map<String, VmRecord> = emptyMap()

    /** The other daemons of which a digest arrived, by name. */
    public val members: MutableMap<String, Member> = LinkedHashMap()

    /** When this daemon sent the last heartbeat that each other one replied to, by name: it was alive then or later. */
    public val lastAcknowledgedAtMillis: MutableMap<String, Long> = HashMap()

    /** Since when this daemon has had a quorum without interruption, or null while it has none. */
    public var quorumSinceMillis: Long? = null

    /** The last load that an owner reported, by backend server. */
    public val loads: MutableMap<String, OwnedLoad> = HashMap()

    /** Increases with each heartbeat round of this daemon. */
    public var heartbeatCount: Long = 0

    /** Whether this daemon is shutting down. */
    public var leaving: Boolean = false

    /** Whether new requests are admitted; no longer shortly before the process exits. */
    public var admitsRequests: Boolean = true

    /** Whether the process is about to exit, so that nothing is retried any more. */
    public var exitDue: Boolean = false

    /** Whether the heartbeat count of the daemon [name] has increased within the lease. */
    public fun isLive(name: String, nowMillis: Long): Boolean {
        val member = members[name] ?: return false
        return nowMillis - member.lastHeartbeatAtMillis <= MEMBER_LEASE_MILLIS
    }

    /** The names of the other daemons that are live and not leaving (draining). */
    public fun activeMembers(nowMillis: Long): List<String> =
        members.values.filter { isLive(it.digest.name, nowMillis) && !it.digest.leaving }.map { it.digest.name }

    /** The listed entry VMs other than [self]. */
    public fun peers(self: String): List<VmRecord> =
        vms.values.filter { it.kind == VmKind.ENTRY && it.name != self && it.peerAddress.isNotEmpty() }

    /** Whether this daemon and those that replied to it within [windowMillis] are a majority of the entry VMs. */
    public fun hasQuorum(self: String, nowMillis: Long, windowMillis: Long): Boolean {
        val others = peers(self)
        val reached = others
            .count { nowMillis - (lastAcknowledgedAtMillis[it.name] ?: Long.MIN_VALUE / 2) <= windowMillis }
        return (reached + 1) * 2 > others.size + 1
    }

    /**
     * Whether this daemon has had a quorum for long enough that every other daemon with a quorum has learned that it
     * is alive.
     */
    public fun hasStableQuorum(self: String, nowMillis: Long): Boolean {
        val since = quorumSinceMillis ?: return false
        return nowMillis - since >= STABLE_QUORUM_MILLIS && hasQuorum(self, nowMillis, QUORUM_WINDOW_MILLIS)
    }

    /** A load and the daemon that reported it. */
    public data class OwnedLoad(
        val owner: String,
        val load: ServerLoad,
        val receivedAtMillis: Long,
    )
}

/** How old the replies that make up a quorum may be, in milliseconds. */
public const val QUORUM_WINDOW_MILLIS: Long = 3_000

private const val STABLE_QUORUM_MILLIS = 5_000L

/** How long a daemon counts as live after its heartbeat count last increased, in milliseconds. */
public const val MEMBER_LEASE_MILLIS: Long = 3_000
