package org.bulrushtack.core.membership

/** The part of the blackboard that holds the VM list and the other daemons. Written by [MembershipController]. */
public class MembersRegion {
    /** The last VM list, by name. */
    public var vms: Map<String, VmRecord> = emptyMap()

    /** The other daemons that were heard of, by name. */
    public val members: MutableMap<String, Member> = LinkedHashMap()

    /** When this daemon asked what each other one last answered, by name: the other lived then, or later. */
    public val lastAcknowledgedAtMillis: MutableMap<String, Long> = HashMap()

    /** Since when this daemon has heard most of the entry VMs without a break, or null. */
    public var quorumSinceMillis: Long? = null

    /** What owners said of their backend servers, by backend server. */
    public val loads: MutableMap<String, OwnedLoad> = HashMap()

    /** Grows with each heartbeat round of this daemon. */
    public var heartbeatCount: Long = 0

    /** Whether this daemon is shutting down. */
    public var leaving: Boolean = false

    /** Whether the daemon [name] was heard within the lease. */
    public fun isLive(name: String, nowMillis: Long): Boolean {
        val member = members[name] ?: return false
        return nowMillis - member.lastHeartbeatAtMillis <= MEMBER_LEASE_MILLIS
    }

    /** The names of the other daemons that live and stay. */
    public fun activeMembers(nowMillis: Long): List<String> =
        members.values.filter { isLive(it.digest.name, nowMillis) && !it.digest.leaving }.map { it.digest.name }

    /** Entry VMs of the list other than [self]. */
    public fun peers(self: String): List<VmRecord> =
        vms.values.filter { it.kind == VmKind.ENTRY && it.name != self && it.peerAddress.isNotEmpty() }

    /** Whether this daemon and those that answered it within [windowMillis] are most of the entry VMs. */
    public fun hasQuorum(self: String, nowMillis: Long, windowMillis: Long): Boolean {
        val others = peers(self)
        val heard = others.count { nowMillis - (lastAcknowledgedAtMillis[it.name] ?: Long.MIN_VALUE / 2) <= windowMillis }
        return (heard + 1) * 2 > others.size + 1
    }

    /**
     * Whether this daemon has heard most of the entry VMs for long enough that every other one that hears most of
     * them has learned that it lives.
     */
    public fun hasStableQuorum(self: String, nowMillis: Long): Boolean {
        val since = quorumSinceMillis ?: return false
        return nowMillis - since >= STEADY_MILLIS && hasQuorum(self, nowMillis, QUORUM_WINDOW_MILLIS)
    }

    /** A load and the daemon that said it. */
    public data class OwnedLoad(
        val owner: String,
        val load: ServerLoad,
        val receivedAtMillis: Long,
    )
}

/** How old the answers may be that make a majority, in milliseconds. */
public const val QUORUM_WINDOW_MILLIS: Long = 3_000

private const val STEADY_MILLIS = 5_000L

/** How long a daemon counts as live after its heartbeat count last grew, in milliseconds. */
public const val MEMBER_LEASE_MILLIS: Long = 3_000
