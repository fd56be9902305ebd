package org.bulrushtack.http.budget

/** Chooses which connection gives way when a resource is short. */
internal class VictimSelector(
    private val limits: () -> BudgetLimits,
) {
    /**
     * The connection to a port of [role] that gives way to a new one: of those without progress the one that holds the
     * most. A client that keeps a connection between requests within the published time is left alone.
     */
    fun forConnection(
        accounts: Collection<ConnectionAccount>,
        role: PortRole,
        nowNanos: Long,
    ): ConnectionAccount? = accounts.filter { it.role == role && isWithoutProgress(it, nowNanos) }
        .minWithOrNull(compareBy({ it.hasServed }, { it.bytesPerSecond(nowNanos) }, { it.lastReadNanos }))

    /** The unfinished request that holds the most, of [holding] or of all, if [account] with [bytes] holds less. */
    fun forMemory(
        accounts: Collection<ConnectionAccount>,
        account: ConnectionAccount,
        bytes: Long,
        holding: Holding?,
    ): ConnectionAccount? {
        val size = { each: ConnectionAccount -> if (holding == null) each.heldBytes else each.held(holding) }
        return accounts.filter { it !== account && isRefusable(it) }
            .maxByOrNull { size(it) }
            ?.takeIf { size(it) > size(account) + bytes }
    }

    /** The unfinished request that holds the most of those of which nothing has arrived for a while. */
    fun stalled(accounts: Collection<ConnectionAccount>, nowNanos: Long): ConnectionAccount? = accounts
        .filter { isRefusable(it) && !it.isPaused && nowNanos - it.lastReadNanos > STALL_NANOS }
        .maxByOrNull { it.heldBytes }

    /** Whether [account] has not sent the end of its headers in time. */
    fun isHeadLate(account: ConnectionAccount, nowNanos: Long): Boolean {
        val headMillis = limits().headMillis
        val isLate = account.headNanos != 0L && (nowNanos - account.headNanos) / NANOS_PER_MILLI > headMillis
        return isLate && !account.isPaused && account.owner.isArriving
    }

    /** Whether the client of [account] has taken nothing of its response for too long. */
    fun isStalled(account: ConnectionAccount, nowNanos: Long): Boolean =
        account.writes.stalledNanos(nowNanos) / NANOS_PER_MILLI > limits().stallMillis

    private fun isRefusable(account: ConnectionAccount): Boolean =
        !account.isClosed && account.channel.isActive && account.owner.isArriving

    private fun isWithoutProgress(account: ConnectionAccount, nowNanos: Long): Boolean {
        val idleNanos = nowNanos - account.lastReadNanos
        val isSlow = account.bytesPerSecond(nowNanos) < limits().slowBytesPerSecond
        return when {
            nowNanos - account.openedNanos < GRACE_NANOS -> false
            account.writes.unsentNanos != 0L -> isSlow && nowNanos - account.writes.unsentNanos > SLOW_NANOS
            account.owner.isWorking -> false
            account.owner.isArriving -> isSlow || idleNanos > SLOW_NANOS
            account.hasServed && account.role.keepsIdle -> idleNanos > KEPT_NANOS
            else -> idleNanos > GRACE_NANOS
        }
    }
}

private const val NANOS_PER_MILLI = 1_000_000L

/**
 * In this time a client sends its first request after it was accepted. Accepted clients that send nothing keep the
 * ones behind them waiting for as long.
 */
private const val GRACE_NANOS = 250_000_000L

/** An unfinished request of which nothing has arrived for longer counts as stalled. */
private const val STALL_NANOS = 1_000_000_000L

/** Long enough to tell a client that reads slowly at times from one that does so all the time. */
private const val SLOW_NANOS = 2_000_000_000L

/** Four fifths of the published time for idle connections, in which callers may use theirs again. */
private const val KEPT_NANOS = 12_000_000_000L
