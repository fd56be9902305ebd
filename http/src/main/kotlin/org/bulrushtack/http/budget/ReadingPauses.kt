package org.bulrushtack.http.budget

/** The connections that are not read for lack of memory. */
internal class ReadingPauses {
    private val paused = LinkedHashSet<ConnectionAccount>()

    fun add(account: ConnectionAccount) {
        account.isPaused = true
        paused.add(account)
    }

    fun remove(account: ConnectionAccount) {
        paused.remove(account)
    }

    /** Reads all of them again. */
    fun resumeAll() {
        val resumed = paused.toList()
        paused.clear()
        resumed.forEach { account ->
            account.isPaused = false
            account.channel.eventLoop().execute { account.owner.resume() }
        }
    }
}
