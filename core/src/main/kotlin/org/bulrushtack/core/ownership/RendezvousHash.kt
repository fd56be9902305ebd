package org.bulrushtack.core.ownership

/** Chooses one of several names for a key by rendezvous hashing, so that few keys move when the names change. */
public object RendezvousHash {
    /** The name with the highest score for [key], or null when there is none. */
    public fun choose(key: String, candidates: List<String>): String? = candidates.maxByOrNull { score(key, it) }

    /** The number of [candidates] with a higher score for [key] than [name]. */
    public fun rank(key: String, name: String, candidates: Collection<String>): Int {
        val own = score(key, name)
        return candidates.count { score(key, it) > own }
    }

    private fun score(key: String, candidate: String): Long {
        var hash = FNV_OFFSET
        for (character in "$candidate/$key") {
            hash = (hash xor character.code.toLong()) * FNV_PRIME
        }
        hash = (hash xor (hash ushr FIRST_SHIFT)) * MIX_FIRST
        hash = (hash xor (hash ushr SECOND_SHIFT)) * MIX_SECOND
        return hash xor (hash ushr THIRD_SHIFT)
    }
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_FIRST = -0x40a7b892e31b1a47L
private const val MIX_SECOND = -0x6b2fb644ecceee15L
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val THIRD_SHIFT = 31
