package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.request.CompletionRequest
import org.bulrushtack.daemon.owner.FrameSink

/**
 * The answer of one completion at the daemon that took it. Frames of attempts that were given up are dropped, and
 * the offset of each chunk is checked, so that the caller gets each token of its own answer once.
 */
internal class CompletionSession(
    val request: CompletionRequest,
    val prompt: ByteArray,
    private val writer: CompletionWriter,
    private val clock: MonotonicClock,
    private val observer: SessionObserver,
) {
    private val progress = AnswerProgress()
    private var breakOff: () -> Unit = {}
    private var progressed = false

    /** Tokens of the answer that were handed to the writer. */
    val tokensReceived: Long get() = synchronized(this) { progress.tokensReceived }

    /** The attempt under way, if any of its tokens arrived since the last call; else null. */
    fun takeProgress(): Int? = synchronized(this) {
        progress.attempt.takeIf { progressed }.also { progressed = false }
    }

    /** Begins attempt [number] and gives the sink for its frames; an earlier attempt is broken off. */
    fun begin(number: Int): FrameSink {
        val earlier = synchronized(this) {
            progress.begin(number)
            progressed = false
            breakOff.also { breakOff = {} }
        }
        earlier()
        return AttemptSink(number = number)
    }

    /** Notes how attempt [number] is broken off. */
    fun onBreakOff(number: Int, action: () -> Unit) {
        val isCurrent = synchronized(this) { progress.isCurrent(number).also { if (it) breakOff = action } }
        if (!isCurrent) action()
    }

    /** Ends the answer with a problem, unless it has ended. */
    fun fail(problem: Problem) {
        if (!end()) return
        writer.fail(problem)
        observer.failed(session = this, problem = problem)
    }

    /** The caller went away. */
    fun abandon() {
        if (end()) observer.abandoned(this)
    }

    /** Gives the attempt up when its engine has been silent for too long while the caller takes more. */
    fun checkStall(firstTokenLimitMillis: Long) {
        val stalled = synchronized(this) {
            if (!writer.isReady) progress.held(clock.nowMillis())
            progress.attempt.takeIf { progress.isStalled(clock.nowMillis(), firstTokenLimitMillis) }
        }
        stalled?.let { attemptFailed(it, Problem(kind = ErrorKind.BACKEND_LOST, detail = "The engine is silent.")) }
    }

    private fun chunk(number: Int, offset: Long, tokens: Long, text: String) {
        val misfit = synchronized(this) {
            val verdict = progress.verdict(offset = offset, tokens = tokens)
            val isCurrent = progress.isCurrent(number)
            if (isCurrent && verdict == AnswerProgress.Verdict.NEXT) {
                if (progress.tokensReceived == 0L) observer.firstToken(this)
                progressed = true
                progress.add(tokens = tokens, nowMillis = clock.nowMillis())
                writer.chunk(offset = offset, tokens = tokens, text = text)
            }
            isCurrent && verdict == AnswerProgress.Verdict.MISFIT
        }
        if (misfit) attemptFailed(number, Problem(kind = ErrorKind.BACKEND_LOST, detail = "Tokens are missing."))
    }

    private fun finished(number: Int, totalTokens: Long, reason: String) {
        if (!synchronized(this) { progress.isCurrent(number) }) return
        if (totalTokens != tokensReceived) {
            attemptFailed(number, Problem(kind = ErrorKind.BACKEND_LOST, detail = "The end of the answer is missing."))
        } else if (end()) {
            writer.finish(totalTokens = totalTokens, reason = reason)
            observer.finished(this)
        }
    }

    private fun attemptFailed(number: Int, problem: Problem) {
        val reachedServer: Boolean
        val action = synchronized(this) {
            if (!progress.isCurrent(number)) return
            reachedServer = progress.isStarted
            progress.stopped()
            breakOff.also { breakOff = {} }
        }
        action()
        observer.attemptFailed(session = this, attempt = number, problem = problem, reachedServer = reachedServer)
    }

    private fun end(): Boolean {
        val action = synchronized(this) {
            if (progress.ended) return false
            progress.ended = true
            breakOff.also { breakOff = {} }
        }
        action()
        return true
    }

    private inner class AttemptSink(
        private val number: Int,
    ) : FrameSink {
        override val isReady: Boolean get() = writer.isReady

        override fun onReady(listener: () -> Unit) = writer.onReady(listener)

        override fun started() = synchronized(this@CompletionSession) {
            if (progress.isCurrent(number)) progress.started(clock.nowMillis())
        }

        override fun chunk(offset: Long, tokens: Long, text: String) =
            this@CompletionSession.chunk(number = number, offset = offset, tokens = tokens, text = text)

        override fun finished(totalTokens: Long, reason: String) =
            this@CompletionSession.finished(number = number, totalTokens = totalTokens, reason = reason)

        override fun failed(problem: Problem) = attemptFailed(number, problem)
    }
}
