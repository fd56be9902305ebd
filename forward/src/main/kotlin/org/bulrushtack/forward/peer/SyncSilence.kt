package org.bulrushtack.forward.peer

import org.bulrushtack.forward.ForwardThread

/**
 * Notices that no daemon responds to the syncs of this one, long before these reach their time limit.
 *
 * @param onSilence called when no daemon has responded to the last syncs so far, so that others are asked as well
 */
internal class SyncSilence(
    private val thread: ForwardThread,
    private val onSilence: () -> Unit,
) {
    private var replies = 0L

    /** Called when nobody has responded since [onSilence] either. */
    var onLastingSilence: () -> Unit = {}

    /** Records that a daemon has responded. */
    fun recordReply() {
        replies += 1
    }

    /** Watches over the syncs that have just been started. */
    fun watch() {
        afterSilence {
            onSilence()
            // Counted anew, so that a process that was held up takes in what has arrived meanwhile.
            afterSilence { onLastingSilence() }
        }
    }

    private fun afterSilence(action: () -> Unit) {
        val repliesBefore = replies
        thread.schedule(PATIENCE_MILLIS) { if (replies == repliesBefore) action() }
    }
}

/** About four round trips between data centres; less than half of the time that a sync may take. */
private const val PATIENCE_MILLIS = 150L
