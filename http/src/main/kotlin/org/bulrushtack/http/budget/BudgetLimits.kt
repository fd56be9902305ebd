package org.bulrushtack.http.budget

/**
 * What a process may hold for its connections.
 *
 * @property heldBytes the most bytes of all holdings
 * @property unreadBytes the most bytes of [Holding.MESSAGES], and of [Holding.PARTIAL_HEADS], which are kept as read
 * @property sockets the most sockets
 * @property stallMillis how long a client may take no byte of a response that waits for it
 * @property slowBytesPerSecond clients that take or send less than this are closed first when something is short
 * @property headMillis the longest time from the first byte of a request to the end of its headers
 */
public data class BudgetLimits(
    val heldBytes: Long = Long.MAX_VALUE,
    val unreadBytes: Long = Long.MAX_VALUE,
    val sockets: Int = Int.MAX_VALUE,
    val stallMillis: Long = Long.MAX_VALUE,
    val slowBytesPerSecond: Long = 0,
    val headMillis: Long = Long.MAX_VALUE,
) {
    /** What only clients that hold little may use. */
    internal val reservedBytes: Long get() = heldBytes / RESERVE_DIVISOR

    /** From here on, connections that hold much are not read. */
    internal val pauseBytes: Long get() = heldBytes / PERCENT * PAUSE_PERCENT

    /** Down to here, what makes no progress is refused, and reading goes on. */
    internal val resumeBytes: Long get() = heldBytes / PERCENT * RESUME_PERCENT

    /** The most connections to a port of [role]. */
    internal fun connections(role: PortRole): Int = maxOf(MINIMUM_CONNECTIONS, percentOf(sockets, role.socketPercent))

    /** The sockets in use from which a port of [role] takes no connection. */
    internal fun pool(role: PortRole): Int =
        usableSockets - if (role.usesReserve) reservedSockets / 2 else reservedSockets

    /** The sockets in use from which none is opened for a request of a caller. */
    internal val outgoingPool: Int get() = usableSockets - reservedSockets

    /** For readiness, for other daemons and for the store. */
    private val reservedSockets: Int get() = minOf(percentOf(sockets, RESERVED_PERCENT), MAXIMUM_RESERVED)

    /** Without listening sockets and closed ones whose descriptor the system frees at the next round of the thread. */
    private val usableSockets: Int get() = sockets - minOf(percentOf(sockets, CLOSING_PERCENT), MAXIMUM_CLOSING)

    private fun percentOf(count: Int, percent: Int): Int = (count.toLong() * percent / PERCENT).toInt()
}

private const val PERCENT = 100
private const val RESERVED_PERCENT = 10
private const val MAXIMUM_RESERVED = 40
private const val CLOSING_PERCENT = 10
private const val MAXIMUM_CLOSING = 24
private const val RESERVE_DIVISOR = 8
private const val PAUSE_PERCENT = 75
private const val RESUME_PERCENT = 60

/** A port with fewer would pass too slowly through a queue of connections that send nothing. */
private const val MINIMUM_CONNECTIONS = 24
