package org.bulrushtack.http.budget

/** What a process holds for messages of one connection from another daemon. Used on the connection's thread. */
public class MessageAccount internal constructor(
    private val account: ConnectionAccount,
) {
    init {
        account.owner = Owner(account)
    }

    /** Holds [bytes] more of a message that is not complete; the connection is closed if they don't fit. */
    public fun hold(bytes: Long) {
        if (!account.isClosed && !account.tryHold(Holding.MESSAGES, bytes)) account.owner.close()
    }

    /** Releases [bytes] of a message that is complete or given up. */
    public fun release(bytes: Long): Unit = account.hold(Holding.MESSAGES, -bytes)

    private class Owner(
        private val account: ConnectionAccount,
    ) : ConnectionOwner {
        override val isArriving: Boolean get() = account.held(Holding.MESSAGES) > 0
        override val isWorking = false

        override fun refuse(isLate: Boolean) = close()

        override fun close() {
            account.channel.close()
        }

        override fun resume() = Unit
    }
}
