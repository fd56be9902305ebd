package org.bulrushtack.core.quarantine

/** Searches for the fewest prompt parts that explain why servers crashed. */
internal object SuspectSearch {
    /**
     * Returns the groups of parts that explain [crashes], the one with the most crashes first. A crash that one group
     * explains doesn't count against other parts: it may only have taken their requests with it.
     */
    fun groups(crashes: Collection<CrashedServer>): List<QuarantinedGroup> {
        val found = mutableListOf<QuarantinedGroup>()
        var unexplained = crashes.toList()
        var next = largestGroup(unexplained)
        while (next != null) {
            val parts = next.parts
            found.add(next)
            unexplained = unexplained.filterNot { it.suspects.containsAll(parts) }
            next = largestGroup(unexplained)
        }
        return found
    }

    private fun largestGroup(crashes: List<CrashedServer>): QuarantinedGroup? {
        val crashesByPart = HashMap<String, MutableList<CrashedServer>>()
        crashes.forEach { crash ->
            crash.suspects.forEach { part -> crashesByPart.getOrPut(part) { mutableListOf() }.add(crash) }
        }
        val most = crashesByPart.values.maxByOrNull { it.size }?.takeIf { it.size >= SUSPECTED_CRASHES }
        return most?.let { explained ->
            QuarantinedGroup(
                parts = crashesByPart.filterValues { it == explained }.keys,
                crashes = explained.size,
                untilMillis = explained.maxOf { it.atMillis } + quarantineMillis(explained.size),
            )
        }
    }

    private fun quarantineMillis(crashes: Int): Long =
        if (crashes >= CONFIRMED_CRASHES) PromptQuarantine.CONFIRMED_MILLIS else SUSPECTED_MILLIS
}

/** Fewer crashes under one part are likely to be chance when several servers end at the same time. */
private const val SUSPECTED_CRASHES = 4
private const val CONFIRMED_CRASHES = 5

/** How long a part that is not confirmed stays away from servers after the last crash; then it gets one more try. */
private const val SUSPECTED_MILLIS = 120_000L
