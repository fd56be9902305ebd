package org.bulrushtack.core.quarantine

/**
 * Finds the parts of prompts under which servers crash, and keeps requests that contain them from further servers.
 *
 * A server crashes under one request and takes others with it, so each crash has many suspects. Parts on which any
 * server has written an answer are cleared.
 */
public class PromptQuarantine {
    private val crashes = LinkedHashMap<String, CrashedServer>()
    private var suspects: Set<String> = emptySet()
    private val answeredAtMillis = LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The ids of the lifetimes whose ends have suspects. */
    public val crashedLifetimes: Set<String> get() = crashes.keys

    /** The groups of parts that crashes point to, the ones with the most crashes first; their time may be over. */
    public var groups: List<QuarantinedGroup> = emptyList()
        private set

    /**
     * Records that the lifetime [lifetimeId] of a server ended before it wrote an answer to a request with [parts].
     * Returns the parts that are suspected: those without a recent answer.
     */
    public fun recordCrash(lifetimeId: String, parts: Set<String>, nowMillis: Long): Set<String> {
        val suspects = parts.filterTo(HashSet()) { !hasRecentAnswer(it, nowMillis) }
        if (suspects.isNotEmpty()) {
            val known = crashes.remove(lifetimeId)?.suspects.orEmpty()
            crashes[lifetimeId] =
                CrashedServer(lifetimeId = lifetimeId, suspects = known + suspects, atMillis = nowMillis)
            while (crashes.size > MAXIMUM_CRASHES) crashes.remove(crashes.keys.first())
            updateGroups()
        }
        return suspects
    }

    /** Records that a server writes an answer to a request with [parts]; returns those that were suspected. */
    public fun recordAnswer(parts: Set<String>, nowMillis: Long): Set<String> {
        parts.forEach { answeredAtMillis[it] = nowMillis }
        while (answeredAtMillis.size > MAXIMUM_ANSWERED_PARTS) answeredAtMillis.remove(answeredAtMillis.keys.first())
        return clear(parts)
    }

    /** Removes [parts] from the suspects of all crashes so far; returns those that were suspected. */
    public fun clear(parts: Set<String>): Set<String> {
        val cleared = parts intersect suspects
        if (cleared.isNotEmpty()) {
            crashes.replaceAll { _, crash -> crash.copy(suspects = crash.suspects - cleared) }
            crashes.values.removeAll { it.suspects.isEmpty() }
            updateGroups()
        }
        return cleared
    }

    /** Forgets crashes that are too long ago to count. */
    public fun expire(nowMillis: Long) {
        if (crashes.values.removeAll { it.atMillis + CONFIRMED_MILLIS <= nowMillis }) updateGroups()
    }

    /** How long a request with [parts] has to stay away from servers; 0 if it may be sent now. */
    public fun remainingMillis(parts: Set<String>, nowMillis: Long): Long = groups
        .filter { parts.containsAll(it.parts) }
        .maxOfOrNull { it.untilMillis - nowMillis }
        ?.coerceAtLeast(0)
        ?: 0

    /** The number of groups whose requests are kept away from servers at [nowMillis]. */
    public fun activeCount(nowMillis: Long): Int = groups.count { it.untilMillis > nowMillis }

    private fun hasRecentAnswer(part: String, nowMillis: Long): Boolean =
        (answeredAtMillis[part] ?: Long.MIN_VALUE / 2) > nowMillis - ANSWER_MEMORY_MILLIS

    private fun updateGroups() {
        suspects = crashes.values.flatMapTo(HashSet()) { it.suspects }
        groups = SuspectSearch.groups(crashes.values)
    }

    public companion object {
        /** How long a part on which enough servers crashed stays away from servers after the last crash. */
        public const val CONFIRMED_MILLIS: Long = 1_800_000L
    }
}

/** A part that was answered within this time doesn't crash each server. */
private const val ANSWER_MEMORY_MILLIS = 60_000L

/** Bounds on memory; each is far above what arrives within the times above on a large system. */
private const val MAXIMUM_CRASHES = 512
private const val MAXIMUM_ANSWERED_PARTS = 16_384
private const val INITIAL_CAPACITY = 256
private const val LOAD_FACTOR = 0.75f
