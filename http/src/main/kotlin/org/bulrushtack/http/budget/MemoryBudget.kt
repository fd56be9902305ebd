package org.bulrushtack.http.budget

/**
 * The memory that is held for connections. When it is short, connections that hold much are not read, and requests
 * that have not arrived completely are refused: those that hold much for those that hold little, and those without
 * progress first.
 */
internal class MemoryBudget(
    private val state: BudgetState,
) {
    private val held = LongArray(Holding.entries.size)
    private val pauses = ReadingPauses()
    private val total: Long get() = held.sum()

    fun held(holding: Holding): Long = synchronized(state.lock) { held[holding.ordinal] }

    /** Holds [bytes] more for [account] if they fit; what holds more and can be refused gives way. */
    fun tryHold(account: ConnectionAccount, holding: Holding, bytes: Long): Boolean = synchronized(state.lock) {
        var fits = fits(account, holding, bytes)
        while (!fits && makeRoom(account, bytes, shortKind(holding, bytes))) fits = fits(account, holding, bytes)
        if (fits) hold(account, holding, bytes) else state.report(BudgetAction.Kind.REFUSED_FOR_MEMORY, account)
        fits
    }

    /** Refuses one request that holds more, of [holding] or of all, than [account] with [bytes] more, if any does. */
    fun makeRoom(account: ConnectionAccount, bytes: Long, holding: Holding?): Boolean = synchronized(state.lock) {
        val victim = state.victims.forMemory(state.accounts, account, bytes, holding)
        victim?.let { refuse(it, BudgetAction.Kind.REFUSED_FOR_OTHERS) }
        victim != null
    }

    /** Counts [bytes] more, or less, of [holding] for [account]. */
    fun hold(account: ConnectionAccount, holding: Holding, bytes: Long) = synchronized(state.lock) {
        // A refusal releases everything at once, before those who asked for it do.
        val change = if (account.isClosed) 0 else maxOf(bytes, -account.held(holding))
        account.add(holding, change)
        held[holding.ordinal] += change
        if (change < 0 && total <= state.limits.resumeBytes) pauses.resumeAll()
    }

    /** Releases all that is held for the request of [account], and for its connection too if [withConnection]. */
    fun releaseAll(account: ConnectionAccount, withConnection: Boolean) = synchronized(state.lock) {
        Holding.entries.filter { withConnection || it != Holding.CONNECTIONS }
            .forEach { hold(account, it, -account.held(it)) }
        if (withConnection) pauses.remove(account)
    }

    /** Whether [account] holds so much while memory is short that it is not read now. */
    fun pauses(account: ConnectionAccount): Boolean = synchronized(state.lock) {
        val isPaused = total > state.limits.pauseBytes && account.heldBytes > SMALL_BYTES
        if (isPaused) pauses.add(account)
        isPaused
    }

    /** Refuses requests without progress while memory is short, and reads the others again. */
    fun review(): Unit = synchronized(state.lock) {
        generateSequence { state.victims.stalled(state.accounts, state.nowNanos) }
            .takeWhile { total > state.limits.pauseBytes }
            .forEach { refuse(it, BudgetAction.Kind.REFUSED_AS_STALLED) }
        pauses.resumeAll()
    }

    private fun refuse(account: ConnectionAccount, kind: BudgetAction.Kind) {
        state.report(kind, account)
        account.runOnLoop { account.owner.refuse(isLate = false) }
        releaseAll(account, withConnection = false)
    }

    private fun fits(account: ConnectionAccount, holding: Holding, bytes: Long): Boolean {
        val isSmall = account.heldBytes + bytes <= SMALL_BYTES
        val maximum = state.limits.heldBytes - if (isSmall) 0 else state.limits.reservedBytes
        return shortKind(holding, bytes) == null && total + bytes <= maximum
    }

    /** The holding whose own limit [bytes] more of [holding] would exceed, or null. */
    private fun shortKind(holding: Holding, bytes: Long): Holding? =
        holding.takeIf { it in KEPT_AS_READ && held[it.ordinal] + bytes > state.limits.unreadBytes }
}

/** A usual request with its headers; who holds no more has the reserve. */
private const val SMALL_BYTES = 65_536L

private val KEPT_AS_READ = setOf(Holding.MESSAGES, Holding.PARTIAL_HEADS)
