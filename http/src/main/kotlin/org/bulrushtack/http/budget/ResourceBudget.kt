package org.bulrushtack.http.budget

import io.netty.channel.Channel
import java.net.SocketAddress

/**
 * The memory and the sockets that a process uses for its connections, within [limits]. A client that holds much gives
 * way to one that holds little, and a part is left to those that hold little. [onAction] learns of each client that was
 * refused or closed; it must not block.
 */
public class ResourceBudget(
    private val limits: () -> BudgetLimits = { BudgetLimits() },
    onAction: (BudgetAction) -> Unit = {},
    nanoTime: () -> Long = System::nanoTime,
) {
    private val state = BudgetState(limits, onAction, nanoTime)
    internal val memory = MemoryBudget(state)
    internal val sockets = SocketBudget(state, memory)

    /** The limits in force. */
    public val currentLimits: BudgetLimits get() = limits()

    /** The connections that this process opened itself. */
    public val outgoingConnections: Int get() = sockets.outgoing.get()

    /** The bytes that are held of [holding]. */
    public fun heldBytes(holding: Holding): Long = memory.held(holding)

    /** The open connections to the ports of [role]. */
    public fun connections(role: PortRole): Int = sockets.opened(role)

    /** The clients that hold the most, at most [count] IP numbers with their bytes. */
    public fun largestClients(count: Int): Map<String, Long> = synchronized(state.lock) {
        state.accounts.groupingBy { it.address }
            .fold(0L) { sum, account -> sum + account.heldBytes }
            .entries.sortedByDescending { it.value }.take(count).associate { it.key to it.value }
    }

    /** Counts [channel], which is opened for a caller's request; throws if there is no socket for it. */
    public fun <C : Channel> openOutgoing(channel: C): C = sockets.openOutgoing(channel)

    /** Counts [channel], which is opened to the store or to another daemon. */
    public fun <C : Channel> countOutgoing(channel: C): C = sockets.countOutgoing(channel)

    /** What is held for messages from the daemon at [remote], or null without a connection from it. */
    public fun messages(remote: SocketAddress?): MessageAccount? = synchronized(state.lock) {
        state.accounts.firstOrNull { it.role == PortRole.DAEMONS && it.channel.remoteAddress() == remote }
            ?.let { MessageAccount(it) }
    }

    /** Ends what is late or stalled, and accepts and reads again what there is room for; to be called regularly. */
    public fun review(): Unit = synchronized(state.lock) {
        state.accounts.toList().forEach { review(it, state.nowNanos) }
        memory.review()
        sockets.updateAccepting()
    }

    private fun review(account: ConnectionAccount, nowNanos: Long) {
        account.writes.observe(nowNanos)
        account.hold(Holding.RESPONSES, account.writes.unsentBytes - account.held(Holding.RESPONSES))
        when {
            state.victims.isHeadLate(account, nowNanos) -> {
                state.report(BudgetAction.Kind.HEADERS_LATE, account)
                account.runOnLoop { account.owner.refuse(isLate = true) }
            }
            state.victims.isStalled(account, nowNanos) -> {
                state.report(BudgetAction.Kind.RESPONSE_STALLED, account)
                account.runOnLoop { account.owner.close() }
            }
        }
    }
}

internal fun ConnectionAccount.runOnLoop(action: () -> Unit) {
    if (channel.eventLoop().inEventLoop()) action() else channel.eventLoop().execute(action)
}
