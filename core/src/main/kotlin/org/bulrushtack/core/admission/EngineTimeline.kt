package org.bulrushtack.core.admission

/**
 * When one engine can take requests, as a plan of the waiting ones assumes. All times are from now.
 *
 * @property backlogMillis the time until the prefill of all its prompts is complete
 */
internal class EngineTimeline(
    val serverId: String,
    backlogMillis: Double,
    private val pace: Pace,
    private val capacity: Capacity,
    occupants: List<Occupant>,
) {
    private val occupants = occupants.sortedBy { it.endsInMillis }.toMutableList()
    var backlogMillis: Double = backlogMillis
        private set

    /** The engine time of the work that is placed here: its prefill, and its share of a full batch while it decodes. */
    val busyMillis: Double
        get() = backlogMillis + occupants.filter { it.decodes }
            .sumOf { maxOf(0.0, it.endsInMillis - backlogMillis) / maxOf(1, capacity.slots) }

    /** The time until a part with [need] can start here; infinite if its memory does not fit. */
    fun readyInMillis(need: Need, decodes: Boolean): Double {
        val ends = occupants.asSequence().map { it.endsInMillis }.filter { it > backlogMillis }
        return (sequenceOf(backlogMillis) + ends).firstOrNull { hasRoom(need, decodes, it) } ?: Double.POSITIVE_INFINITY
    }

    /** The time until the first token of a part that starts in [startMillis]. */
    fun firstTokenInMillis(startMillis: Double, partMillis: Double): Double =
        startMillis + (partMillis + pace.waitForPassesMillis) * pace.slowness

    /** Sets room aside for a part that starts in [startMillis]. */
    fun promise(need: Need, startMillis: Double, decodes: Boolean) {
        backlogMillis = startMillis + need.partMillis * pace.slowness
        val occupant = Occupant(
            endsInMillis = backlogMillis + need.decodeMillis,
            memoryTokens = need.tokens,
            tokenGapMillis = need.tokenGapMillis,
            decodes = decodes,
        )
        val position = occupants.indexOfFirst { it.endsInMillis > occupant.endsInMillis }
        occupants.add(if (position < 0) occupants.size else position, occupant)
    }

    private fun hasRoom(need: Need, decodes: Boolean, atMillis: Double): Boolean {
        var decoding = 0
        var usedTokens = 0L
        var minimumGapMillis = Long.MAX_VALUE
        for (occupant in occupants) {
            if (occupant.endsInMillis > atMillis) {
                usedTokens += occupant.memoryTokens
                if (occupant.decodes) {
                    decoding += 1
                    minimumGapMillis = minOf(minimumGapMillis, occupant.tokenGapMillis)
                }
            }
        }
        val passMillis = (pace.passMillis + need.passMillis) * pace.slowness
        val keepsGaps = decoding == 0 || passMillis <= minimumGapMillis * TOKEN_GAP_SHARE
        return keepsGaps && usedTokens + need.tokens <= capacity.memoryTokens && (!decodes || decoding < capacity.slots)
    }

    /**
     * How fast the engine works.
     *
     * @property passMillis the time of a pass without prefill
     * @property waitForPassesMillis the time that the first token of a prompt takes beside the prefill
     * @property slowness the ratio of measured to predicted time
     */
    data class Pace(
        val passMillis: Double,
        val waitForPassesMillis: Double,
        val slowness: Double,
    )

    /** What the engine holds at a time: requests that decode, and tokens of memory. */
    data class Capacity(
        val slots: Int,
        val memoryTokens: Long,
    )

    /** A request that holds room on the engine until [endsInMillis]. */
    data class Occupant(
        val endsInMillis: Double,
        val memoryTokens: Long,
        val tokenGapMillis: Long,
        val decodes: Boolean,
    )

    /**
     * What one part of a prompt needs of an engine.
     *
     * @property partMillis the prefill time of the part
     * @property passMillis the most that its prefill adds to one pass
     */
    data class Need(
        val partMillis: Double,
        val passMillis: Double,
        val tokens: Long,
        val tokenGapMillis: Long,
        val decodeMillis: Double,
    )
}

/** The rest of a token gap is left for the network and for prompts that are longer than estimated. */
private const val TOKEN_GAP_SHARE = 0.85
