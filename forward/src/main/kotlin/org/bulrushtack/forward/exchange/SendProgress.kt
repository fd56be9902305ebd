package org.bulrushtack.forward.exchange

import org.bulrushtack.forward.ForwardThread

/** Measures the progress of one send and reports through [onInactive] when an expected event doesn't arrive. */
internal class SendProgress(
    private val thread: ForwardThread,
    private val onInactive: (reason: String) -> Unit,
) {
    private val timer = InactivityTimer(thread)
    private var sentAtMillis = 0L
    private var progressAtMillis = 0L

    /** The time from the send to the first event of the response, or null while there is none. */
    var firstEventMillis: Long? = null
        private set

    /** The time since the send, or since the last event of its response. */
    val silentMillis: Long get() = thread.nowMillis() - progressAtMillis

    /** Records the send; a response is expected within [timeoutMillis], or at any time if that is null. */
    fun start(timeoutMillis: Long?) {
        sentAtMillis = thread.nowMillis()
        progressAtMillis = sentAtMillis
        timeoutMillis?.let { millis -> timer.restart(millis) { onInactive("no response in time") } }
    }

    /** Records an event; the next is expected within [timeoutMillis], or at any time if that is null. */
    fun recordEvent(timeoutMillis: Long?) {
        progressAtMillis = thread.nowMillis()
        if (firstEventMillis == null) firstEventMillis = progressAtMillis - sentAtMillis
        timeoutMillis?.let { millis -> timer.restart(millis) { onInactive("no event in time") } }
    }

    /** Reports again after a while if there is still no event. */
    fun watchAgain() = timer.restart(REPEATED_CHECK_MILLIS) { onInactive("still no event") }

    /** Ends the reports. */
    fun stop() = timer.stop()
}

/** About the time in which other engines become free. */
private const val REPEATED_CHECK_MILLIS = 300L
