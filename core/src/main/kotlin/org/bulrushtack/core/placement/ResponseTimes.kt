package org.bulrushtack.core.placement

/** The time that calls take at the servers of a service, by kind of call, averaged over the last ones. */
public class ResponseTimes {
    private val averages = HashMap<Key, Average>()

    /** Records that a call of [kind] took [millis] at server [id]. */
    public fun record(id: String, kind: String, millis: Long) {
        if (averages.size >= MAXIMUM_AVERAGES) averages.clear()
        averages.getOrPut(Key(id, kind)) { Average() }.add(millis.coerceIn(1, MAXIMUM_MILLIS).toDouble())
    }

    /** How many times longer than at the typical one of [servers] a call of [kind] takes at [id]; 1 if unknown. */
    public fun slowness(id: String, kind: String, servers: Collection<String>): Double {
        val known = servers.mapNotNull { known(it, kind) }.sorted()
        val own = known(id, kind)
        return if (own == null || known.size < MINIMUM_SERVERS) 1.0 else own / known[(known.size - 1) / 2]
    }

    private fun known(id: String, kind: String): Double? =
        averages[Key(id, kind)]?.takeIf { it.calls >= MINIMUM_CALLS }?.millis

    private data class Key(
        val id: String,
        val kind: String,
    )

    private class Average {
        var calls = 0
            private set
        var millis = 0.0
            private set

        fun add(value: Double) {
            calls += 1
            millis += (value - millis) * maxOf(WEIGHT, 1.0 / calls)
        }
    }
}

/** About ten calls; single ones of 15 to 60 ms say little. */
private const val WEIGHT = 0.1
private const val MINIMUM_CALLS = 3
private const val MINIMUM_SERVERS = 2

/** One stall does not count for more than a call that takes all its time. */
private const val MAXIMUM_MILLIS = 3_000L

/** More pairs of servers and kinds than any service has. */
private const val MAXIMUM_AVERAGES = 2_048
