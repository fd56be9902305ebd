package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.request.CompletionRequest
import org.bulrushtack.daemon.owner.FrameSink

/**
 * One completion at its ingress daemon. Frames of abandoned attempts are dropped and the offset of each chunk is
 * checked, so that the caller receives each token of its completion exactly once.
 */
internal class CompletionSession(
    val request: CompletionRequest,
    val prompt: ByteArray,
    private val writer: CompletionWriter,
    private val clock: MonotonicClock,
    private val observer: SessionObserver,
) {
    private val progress = CompletionProgress()
    private var cancelAttempt: () -> Unit = {}
    private var progressed = false

    /** Tokens of the completion that were handed to the writer. */
    val tokensReceived: Long get() = synchronized(this) { progress.tokensReceived }

    /** The number of the current attempt if any of its tokens arrived since the last call, else null. */
    fun pollProgressedAttempt(): Int? = synchronized(this) {
        progress.attempt.takeIf { progressed }.also { progressed = false }
    }

    /** Starts attempt [number], cancels the one before it, and returns the sink for its frames. */
    fun startAttempt(number: Int): FrameSink {
        val cancelEarlierAttempt = synchronized(this) {
            progress.startAttempt(number)
            progressed = false
            cancelAttempt.also { cancelAttempt = {} }
        }
        cancelEarlierAttempt()
        return AttemptSink(number = number)
    }

    /** Registers [cancel] as the way to cancel attempt [number]; runs it at once if that attempt is not current. */
    fun onCancel(number: Int, cancel: () -> Unit) {
        val isCurrent = synchronized(this) { progress.isCurrent(number).also { if (it) cancelAttempt = cancel } }
        if (!isCurrent) cancel()
    }

    /** Ends the completion with a problem, unless it has ended already. */
    fun fail(problem: Problem) {
        if (!markFinished()) return
        writer.fail(problem)
        observer.failed(session = this, problem = problem)
    }

    /** Ends the completion because its caller closed the connection. */
    fun abandon() {
        if (markFinished()) observer.abandoned(this)
    }

    /** Fails the current attempt if its engine has sent nothing for too long while the caller could accept more. */
    fun checkStall(firstTokenTimeoutMillis: Long) {
        val stalled = synchronized(this) {
            if (!writer.isReady) progress.restartChunkTimeout(clock.nowMillis())
            progress.attempt.takeIf { progress.isStalled(clock.nowMillis(), firstTokenTimeoutMillis) }
        }
        stalled?.let { attemptFailed(it, Problem(kind = ErrorKind.BACKEND_LOST, detail = "The engine is silent.")) }
    }

    private fun chunk(number: Int, offset: Long, tokens: Long, text: String) {
        val inconsistent = synchronized(this) {
            val position = progress.classify(offset = offset, tokens = tokens)
            val isCurrent = progress.isCurrent(number)
            if (isCurrent && position == CompletionProgress.ChunkPosition.NEXT) {
                if (progress.tokensReceived == 0L) observer.firstTokenReceived(this)
                progressed = true
                progress.add(tokens = tokens, nowMillis = clock.nowMillis())
                writer.chunk(offset = offset, tokens = tokens, text = text)
            }
            isCurrent && position == CompletionProgress.ChunkPosition.INCONSISTENT
        }
        if (inconsistent) attemptFailed(number, Problem(kind = ErrorKind.BACKEND_LOST, detail = "Tokens are missing."))
    }

    private fun finished(number: Int, totalTokens: Long, reason: String) {
        if (!synchronized(this) { progress.isCurrent(number) }) return
        if (totalTokens != tokensReceived) {
            attemptFailed(number, Problem(kind = ErrorKind.BACKEND_LOST, detail = "The end of the answer is missing."))
        } else if (markFinished()) {
            writer.finish(totalTokens = totalTokens, reason = reason)
            observer.finished(this)
        }
    }

    private fun attemptFailed(number: Int, problem: Problem) {
        val reachedServer: Boolean
        val cancel = synchronized(this) {
            if (!progress.isCurrent(number)) return
            reachedServer = progress.isStarted
            progress.attemptStopped()
            cancelAttempt.also { cancelAttempt = {} }
        }
        cancel()
        observer.attemptFailed(session = this, attempt = number, problem = problem, reachedServer = reachedServer)
    }

    private fun markFinished(): Boolean {
        val cancel = synchronized(this) {
            if (progress.finished) return false
            progress.finished = true
            cancelAttempt.also { cancelAttempt = {} }
        }
        cancel()
        return true
    }

    private inner class AttemptSink(
        private val number: Int,
    ) : FrameSink {
        override val isReady: Boolean get() = writer.isReady

        override fun onReady(listener: () -> Unit) = writer.onReady(listener)

        override fun started() = synchronized(this@CompletionSession) {
            if (progress.isCurrent(number)) progress.attemptDequeued(clock.nowMillis())
        }

        override fun chunk(offset: Long, tokens: Long, text: String) =
            this@CompletionSession.chunk(number = number, offset = offset, tokens = tokens, text = text)

        override fun finished(totalTokens: Long, reason: String) =
            this@CompletionSession.finished(number = number, totalTokens = totalTokens, reason = reason)

        override fun failed(problem: Problem) = attemptFailed(number, problem)
    }
}
