package org.bulrushtack.core.placement

/**
 * The state of one engine that placement compares.
 *
 * @property backlogMillis the time until all prompts that it holds have been read
 * @property ownBacklogMillis the backlog, if prompts whose answers are written here are in it; a part that is read for
 *   another engine would go ahead of them
 * @property passMillis the time of a pass without reading
 * @property readingShare the part of the time that newly placed prompts have taken of late, from 0 to 0.5
 * @property shortestPauseMillis the shortest pause that one of its answers bears, or null when it writes none
 * @property freeTokens memory that is not promised
 * @property slowness how many times slower than predicted it has been
 */
internal data class EngineLoad(
    val serverId: String,
    val address: String,
    val dataCentre: String,
    val writers: Int,
    val backlogMillis: Double,
    val ownBacklogMillis: Double,
    val passMillis: Double,
    val readingShare: Double,
    val shortestPauseMillis: Long?,
    val freeTokens: Long,
    val slowness: Double,
    val failureRate: Double,
) {
    val isIdle: Boolean get() = writers == 0 && backlogMillis <= 0

    /** The time to the first event of a prompt of which [readMillis] are read here. */
    fun firstEventMillis(readMillis: Double): Double {
        val passes = if (writers == 0) 1.0 else PASSES_BESIDE_WRITERS
        return (backlogMillis + readMillis + passes * passMillis / (1 - readingShare)) * slowness
    }

    /** Whether reading for [readMillis] keeps the pauses of the answers that are written here. */
    fun bearsReading(readMillis: Double): Boolean = shortestPauseMillis == null ||
        (passMillis + backlogMillis + readMillis) * slowness <= shortestPauseMillis * PAUSE_SHARE
}

/** On average half of a pass is left when a request arrives; the next reads its prompt and one more writes. */
private const val PASSES_BESIDE_WRITERS = 2.5

/** The rest of a pause is for the network and for prompts that are longer than their estimate. */
private const val PAUSE_SHARE = 0.85
