package org.bulrushtack.http.budget

import io.netty.channel.Channel
import io.netty.channel.ChannelException
import java.util.concurrent.atomic.AtomicInteger

/**
 * The sockets of a process. When a port has no more, a connection without progress gives way to a new one; without one
 * the port accepts no connections for a while.
 */
internal class SocketBudget(
    private val state: BudgetState,
    private val memory: MemoryBudget,
) {
    private val opened = IntArray(PortRole.entries.size)
    private val servers = LinkedHashMap<Channel, PortRole>()
    private val inUse: Int get() = opened.sum() + outgoing.get()

    /** The connections that the process opened itself. */
    val outgoing = AtomicInteger()

    fun opened(role: PortRole): Int = synchronized(state.lock) { opened[role.ordinal] }

    /** Counts [channel], which is opened for a caller's request; throws if there is no socket for it. */
    fun <C : Channel> openOutgoing(channel: C): C {
        if (inUse >= state.limits.outgoingPool) {
            channel.unsafe().closeForcibly()
            throw ChannelException("no socket is left for a request of a caller")
        }
        return countOutgoing(channel)
    }

    /** Counts [channel], which is opened whether or not there are many. */
    fun <C : Channel> countOutgoing(channel: C): C {
        outgoing.incrementAndGet()
        channel.closeFuture().addListener { outgoing.decrementAndGet() }
        return channel
    }

    /** Takes the connection [channel] to a port of [role], or returns null if it has to be closed. */
    fun tryOpen(budget: ResourceBudget, role: PortRole, channel: Channel): ConnectionAccount? =
        synchronized(state.lock) {
            channel.parent()?.let { servers[it] = role }
            if (isFull(role)) victim(role)?.let { evict(it) }
            val account = ConnectionAccount(budget, role, channel, state.nowNanos)
            val isTaken = !isFull(role)
            if (isTaken) register(account) else state.report(BudgetAction.Kind.NOT_ACCEPTED, account)
            updateAccepting()
            account.takeIf { isTaken }
        }

    /** A port takes connections while it has room, or a connection that can give way. */
    fun updateAccepting() = synchronized(state.lock) {
        servers.forEach { (server, role) ->
            val accepts = !isFull(role) || victim(role) != null
            if (server.config().isAutoRead != accepts) server.config().isAutoRead = accepts
        }
    }

    private fun register(account: ConnectionAccount) {
        state.accounts.add(account)
        opened[account.role.ordinal] += 1
        memory.hold(account, Holding.CONNECTIONS, CONNECTION_BYTES)
        account.channel.closeFuture().addListener { close(account) }
    }

    private fun close(account: ConnectionAccount) = synchronized(state.lock) {
        if (state.accounts.remove(account)) {
            opened[account.role.ordinal] -= 1
            memory.releaseAll(account, withConnection = true)
            account.isClosed = true
            updateAccepting()
        }
    }

    private fun evict(account: ConnectionAccount) {
        state.report(BudgetAction.Kind.CLOSED_FOR_CONNECTION, account)
        account.runOnLoop { account.owner.close() }
    }

    private fun victim(role: PortRole) = state.victims.forConnection(state.accounts, role, state.nowNanos)

    private fun isFull(role: PortRole): Boolean =
        opened[role.ordinal] >= state.limits.connections(role) || inUse >= state.limits.pool(role)
}

/** A pipeline with its codec and one read that waits for more. */
private const val CONNECTION_BYTES = 8_192L
