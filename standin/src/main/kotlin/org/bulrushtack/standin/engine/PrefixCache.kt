package org.bulrushtack.standin.engine

import java.util.zip.CRC32

/** Remembers the prefixes of prompts in limited memory and tells of them late and with gaps. */
internal class PrefixCache(
    private val capacityTokens: Long,
    private val eventLagMillis: Long,
) {
    private val entries = LinkedHashMap<String, Long>(INITIAL_ENTRIES, LOAD_FACTOR, true)
    private val events = ArrayDeque<CacheEvent>()
    private var nextNumber = 1L

    /** How many tokens of [prompt] needn't be read again; the prefix is remembered. */
    @Synchronized
    fun use(prompt: String, promptTokens: Long, nowMillis: Long): Long {
        if (prompt.length < PREFIX_CHARACTERS) return 0
        val key = key(prompt)
        val tokens = minOf(promptTokens, PREFIX_TOKENS)
        val known = entries.put(key, tokens)
        if (known == null) note(kind = "stored", key = key, nowMillis = nowMillis)
        evict(nowMillis)
        return known ?: 0
    }

    /** Puts an imported prefix in. */
    @Synchronized
    fun put(key: String, tokens: Long, nowMillis: Long) {
        entries[key] = tokens
        note(kind = "stored", key = key, nowMillis = nowMillis)
        evict(nowMillis)
    }

    /** The tokens held under [key], or null. */
    @Synchronized
    fun tokens(key: String): Long? = entries[key]

    /** Forgets everything without a word. */
    @Synchronized
    fun clear() = entries.clear()

    /** Events from number [from] on that are old enough to be told; each tenth is missing. */
    @Synchronized
    fun events(from: Long, nowMillis: Long): List<CacheEvent> = events.filter {
        it.number >= from && it.atMillis <= nowMillis - eventLagMillis && it.number % GAP != 0L
    }

    /** The name of the prefix of [prompt]. */
    fun key(prompt: String): String =
        CRC32().also { it.update(prompt.take(PREFIX_CHARACTERS).toByteArray()) }.value.toString()

    private fun evict(nowMillis: Long) {
        while (entries.values.sum() > capacityTokens) {
            val oldest = entries.keys.first()
            entries.remove(oldest)
            note(kind = "removed", key = oldest, nowMillis = nowMillis)
        }
    }

    private fun note(kind: String, key: String, nowMillis: Long) {
        events.addLast(CacheEvent(number = nextNumber, kind = kind, key = key, atMillis = nowMillis))
        nextNumber++
        if (events.size > KEPT_EVENTS) events.removeFirst()
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
private const val GAP = 10L
private const val KEPT_EVENTS = 10_000
