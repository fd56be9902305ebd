package org.bulrushtack.daemon.ingress

/** How far an answer has come, and which attempt may add to it. Guarded by its session. */
internal class AnswerProgress {
    /** Tokens of the answer that the caller was given. */
    var tokensReceived: Long = 0
        private set

    /** The attempt whose frames count. */
    var attempt: Int = 0
        private set

    /** Whether nothing more is to come. */
    var ended: Boolean = false

    private var startedAtMillis: Long? = null
    private var lastFrameAtMillis: Long? = null

    /** Whether the attempt left its queue. */
    val isStarted: Boolean get() = startedAtMillis != null

    /** Makes [number] the attempt that counts. */
    fun begin(number: Int) {
        attempt = number
        startedAtMillis = null
        lastFrameAtMillis = null
    }

    /** Notes that the attempt left its queue. */
    fun started(nowMillis: Long) {
        startedAtMillis = nowMillis
    }

    /** Notes that the attempt no longer runs. */
    fun stopped() {
        startedAtMillis = null
    }

    /** Notes that the caller takes nothing now, so that silence is no stall. */
    fun held(nowMillis: Long) {
        if (lastFrameAtMillis != null) lastFrameAtMillis = nowMillis
    }

    /** Whether frames of attempt [number] count. */
    fun isCurrent(number: Int): Boolean = !ended && number == attempt

    /** What to do with [tokens] tokens that come after [offset] others. */
    fun verdict(offset: Long, tokens: Long): Verdict = when {
        offset == tokensReceived -> Verdict.NEXT
        offset + tokens <= tokensReceived -> Verdict.KNOWN
        else -> Verdict.MISFIT
    }

    /** Takes tokens that come next. */
    fun add(tokens: Long, nowMillis: Long) {
        tokensReceived += tokens
        lastFrameAtMillis = nowMillis
    }

    /** Whether an attempt that has started has been silent for too long. */
    fun isStalled(nowMillis: Long, firstTokenLimitMillis: Long): Boolean {
        val started = startedAtMillis
        val lastFrame = lastFrameAtMillis
        return when {
            ended || started == null -> false
            lastFrame == null -> nowMillis - started > firstTokenLimitMillis
            else -> nowMillis - maxOf(lastFrame, started) > FRAME_LIMIT_MILLIS
        }
    }

    /** What tokens are to an answer. */
    enum class Verdict {
        /** They come next. */
        NEXT,

        /** The caller has them already. */
        KNOWN,

        /** Some before them are missing, or they overlap. */
        MISFIT,
    }
}

private const val FRAME_LIMIT_MILLIS = 5_000L
