package org.bulrushtack.daemon.ingress

/**
 * How many tokens of a completion were received, and which attempt may add to them. Not thread-safe: the session guards
 * it with its lock.
 */
internal class CompletionProgress {
    /** Tokens of the completion that were handed to the caller's writer. */
    var tokensReceived: Long = 0
        private set

    /** The number of the current attempt; frames of other attempts are dropped. */
    var attempt: Int = 0
        private set

    /** Whether the completion has ended, with its last token or with a problem. */
    var finished: Boolean = false

    private var startedAtMillis: Long? = null
    private var lastFrameAtMillis: Long? = null

    /** Whether the current attempt left its queue. */
    val isStarted: Boolean get() = startedAtMillis != null

    /** Makes [number] the current attempt. */
    fun startAttempt(number: Int) {
        attempt = number
        startedAtMillis = null
        lastFrameAtMillis = null
    }

    /** Records that the current attempt left its queue. */
    fun attemptDequeued(nowMillis: Long) {
        startedAtMillis = nowMillis
    }

    /** Records that the current attempt no longer runs. */
    fun attemptStopped() {
        startedAtMillis = null
    }

    /** Restarts the wait for the next chunk, because the caller applies back-pressure and no chunk is due. */
    fun restartChunkTimeout(nowMillis: Long) {
        if (lastFrameAtMillis != null) lastFrameAtMillis = nowMillis
    }

    /** Whether [number] is the current attempt of a completion that has not ended. */
    fun isCurrent(number: Int): Boolean = !finished && number == attempt

    /** Classifies a chunk of [tokens] tokens that starts at [offset]. */
    fun classify(offset: Long, tokens: Long): ChunkPosition = when {
        offset == tokensReceived -> ChunkPosition.NEXT
        offset + tokens <= tokensReceived -> ChunkPosition.DUPLICATE
        else -> ChunkPosition.INCONSISTENT
    }

    /** Adds the tokens of the next chunk. */
    fun add(tokens: Long, nowMillis: Long) {
        tokensReceived += tokens
        lastFrameAtMillis = nowMillis
    }

    /** Whether the current attempt left its queue and has sent no chunk for longer than its limit. */
    fun isStalled(nowMillis: Long, firstTokenTimeoutMillis: Long): Boolean {
        val started = startedAtMillis
        val lastFrame = lastFrameAtMillis
        return when {
            finished || started == null -> false
            lastFrame == null -> nowMillis - started > firstTokenTimeoutMillis
            else -> nowMillis - maxOf(lastFrame, started) > CHUNK_TIMEOUT_MILLIS
        }
    }

    /** Where a chunk stands relative to the tokens received so far. */
    enum class ChunkPosition {
        /** It starts where the received tokens end. */
        NEXT,

        /** The caller has all of its tokens already. */
        DUPLICATE,

        /** Tokens before it are missing, or it overlaps the received tokens. */
        INCONSISTENT,
    }
}

private const val CHUNK_TIMEOUT_MILLIS = 5_000L
