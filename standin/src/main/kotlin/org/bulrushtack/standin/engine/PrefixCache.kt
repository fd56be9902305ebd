package org.bulrushtack.standin.engine

import java.util.zip.CRC32

/** An LRU cache of prompt prefixes with limited memory, whose events are delayed and incomplete. */
internal class PrefixCache(
    private val capacityTokens: Long,
    private val eventLagMillis: Long,
) {
    private val entries = LinkedHashMap<String, Long>(INITIAL_ENTRIES, LOAD_FACTOR, true)
    private val events = ArrayDeque<CacheEvent>()
    private var nextNumber = 1L

    /** Returns how many tokens of [prompt] are cached and need no prefill; stores its prefix. */
    @Synchronized
    fun lookUpAndStore(prompt: String, promptTokens: Long, nowMillis: Long): Long {
        if (prompt.length < PREFIX_CHARACTERS) return 0
        val key = key(prompt)
        val tokens = minOf(promptTokens, PREFIX_TOKENS)
        val cachedTokens = entries.put(key, tokens)
        if (cachedTokens == null) recordEvent(kind = "stored", key = key, nowMillis = nowMillis)
        evict(nowMillis)
        return cachedTokens ?: 0
    }

    /** Stores an imported prefix. */
    @Synchronized
    fun put(key: String, tokens: Long, nowMillis: Long) {
        entries[key] = tokens
        recordEvent(kind = "stored", key = key, nowMillis = nowMillis)
        evict(nowMillis)
    }

    /** The cached tokens of the prefix [key], or null. */
    @Synchronized
    fun tokens(key: String): Long? = entries[key]

    /** Clears the cache without recording events. */
    @Synchronized
    fun clear() = entries.clear()

    /** Events from number [from] on that are old enough to be visible; every tenth is missing. */
    @Synchronized
    fun visibleEvents(from: Long, nowMillis: Long): List<CacheEvent> = events.filter {
        it.number >= from && it.atMillis <= nowMillis - eventLagMillis && it.number % MISSING_EVENT_INTERVAL != 0L
    }

    /** The key of the prefix of [prompt]. */
    fun key(prompt: String): String =
        CRC32().also { it.update(prompt.take(PREFIX_CHARACTERS).toByteArray()) }.value.toString()

    private fun evict(nowMillis: Long) {
        while (entries.values.sum() > capacityTokens) {
            val oldest = entries.keys.first()
            entries.remove(oldest)
            recordEvent(kind = "removed", key = oldest, nowMillis = nowMillis)
        }
    }

    private fun recordEvent(kind: String, key: String, nowMillis: Long) {
        events.addLast(CacheEvent(number = nextNumber, kind = kind, key = key, atMillis = nowMillis))
        nextNumber++
        if (events.size > MAX_KEPT_EVENTS) events.removeFirst()
    }

    /** One change of the cache. */
    data class CacheEvent(
        val number: Long,
        val kind: String,
        val key: String,
        val atMillis: Long,
    )
}

private const val INITIAL_ENTRIES = 64
private const val LOAD_FACTOR = 0.75f
private const val PREFIX_CHARACTERS = 2_000
private const val PREFIX_TOKENS = 500L
private const val MISSING_EVENT_INTERVAL = 10L
private const val MAX_KEPT_EVENTS = 10_000
