package org.bulrushtack.daemon.taking

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.request.CompletionRequest
import org.bulrushtack.daemon.control.MonotonicClock
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
    /** Tokens of the answer that were handed to the writer. */
    var tokensReceived: Long = 0
        private set

    private var attempt = 0
    private var ended = false
    private var breakOff: () -> Unit = {}
    private var startedAtMillis: Long? = null
    private var lastFrameAtMillis: Long? = null

    /** Begins attempt number [number] and gives the sink for its frames; an earlier attempt is broken off. */
    @Synchronized
    fun begin(number: Int): FrameSink {
        breakOff()
        breakOff = {}
        attempt = number
        startedAtMillis = null
        lastFrameAtMillis = null
        return AttemptSink(session = this, number = number)
    }

    /** Notes how attempt [number] is broken off. */
    fun onBreakOff(number: Int, action: () -> Unit) {
        val tooLate = synchronized(this) {
            if (!isCurrent(number)) true else false.also { breakOff = action }
        }
        if (tooLate) action()
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

    /** Gives the attempt up when its engine has been silent for too long; says whether it did. */
    fun checkStall(firstTokenLimitMillis: Long): Boolean {
        val number = synchronized(this) { attempt.takeIf { isStalled(firstTokenLimitMillis) } } ?: return false
        attemptFailed(number, Problem(kind = ErrorKind.BACKEND_LOST, detail = "The engine is silent."))
        return true
    }

    private fun isStalled(firstTokenLimitMillis: Long): Boolean {
        val started = startedAtMillis
        if (ended || started == null || !writer.isReady) return false
        val lastFrame = lastFrameAtMillis
        val now = clock.nowMillis()
        return if (lastFrame == null) now - started > firstTokenLimitMillis else now - lastFrame > FRAME_LIMIT_MILLIS
    }

    private fun started(number: Int) = synchronized(this) {
        if (isCurrent(number)) startedAtMillis = clock.nowMillis()
    }

    private fun chunk(number: Int, offset: Long, tokens: Long, text: String) {
        val accepted = synchronized(this) {
            when {
                !isCurrent(number) || offset + tokens <= tokensReceived -> true
                offset != tokensReceived -> false
                else -> true.also { accept(offset = offset, tokens = tokens, text = text) }
            }
        }
        if (!accepted) attemptFailed(number, Problem(kind = ErrorKind.BACKEND_LOST, detail = "Tokens are missing."))
    }

    private fun accept(offset: Long, tokens: Long, text: String) {
        if (tokensReceived == 0L) observer.firstToken(this)
        tokensReceived += tokens
        lastFrameAtMillis = clock.nowMillis()
        writer.chunk(offset = offset, tokens = tokens, text = text)
    }

    private fun finished(number: Int, totalTokens: Long, reason: String) {
        if (!synchronized(this) { isCurrent(number) }) return
        if (totalTokens != tokensReceived) {
            attemptFailed(number, Problem(kind = ErrorKind.BACKEND_LOST, detail = "The end of the answer is missing."))
        } else if (end()) {
            writer.finish(totalTokens = totalTokens, reason = reason)
            observer.finished(this)
        }
    }

    private fun attemptFailed(number: Int, problem: Problem) {
        val action = synchronized(this) {
            if (!isCurrent(number)) return
            startedAtMillis = null
            breakOff.also { breakOff = {} }
        }
        action()
        observer.attemptFailed(session = this, attempt = number, problem = problem)
    }

    private fun end(): Boolean {
        val action = synchronized(this) {
            if (ended) return false
            ended = true
            breakOff.also { breakOff = {} }
        }
        action()
        return true
    }

    private fun isCurrent(number: Int): Boolean = !ended && number == attempt

    private class AttemptSink(
        private val session: CompletionSession,
        private val number: Int,
    ) : FrameSink {
        override val isReady: Boolean get() = session.writer.isReady

        override fun onReady(listener: () -> Unit) = session.writer.onReady(listener)

        override fun started() = session.started(number)

        override fun chunk(offset: Long, tokens: Long, text: String) =
            session.chunk(number = number, offset = offset, tokens = tokens, text = text)

        override fun finished(totalTokens: Long, reason: String) =
            session.finished(number = number, totalTokens = totalTokens, reason = reason)

        override fun failed(problem: Problem) = session.attemptFailed(number, problem)
    }
}

private const val FRAME_LIMIT_MILLIS = 5_000L
