package org.bulrushtack.http

import java.util.concurrent.atomic.AtomicReference

/** Whether one request was sent and whether it is finished. One thread may send it while another one ends it. */
internal class RequestProgress {
    private val step = AtomicReference(Step.CONNECTING)

    /** Whether any byte of the request may have left this process. */
    val isSent: Boolean get() = step.get().isSent

    /** Whether the request has a result. */
    val isFinished: Boolean get() = step.get().isFinished

    /** Marks the request as sent; returns false if it is finished and must not be sent any more. */
    fun markSent(): Boolean = step.compareAndSet(Step.CONNECTING, Step.SENT)

    /** Finishes the request and returns whether it was sent, or null if it was finished before. */
    fun finish(): Boolean? = step.getAndUpdate { if (it.isSent) Step.FINISHED_SENT else Step.FINISHED_UNSENT }
        .takeUnless { it.isFinished }
        ?.isSent

    private enum class Step(
        val isSent: Boolean,
        val isFinished: Boolean,
    ) {
        CONNECTING(isSent = false, isFinished = false),
        SENT(isSent = true, isFinished = false),
        FINISHED_UNSENT(isSent = false, isFinished = true),
        FINISHED_SENT(isSent = true, isFinished = true),
    }
}
