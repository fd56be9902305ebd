package org.bulrushtack.core.admission

/**
 * The position of a request among those that wait for the same service; a lower rank goes first.
 *
 * @property priority 0 is the most urgent
 * @property neglected whether its size or its workspace has been served less than its minimum share
 * @property value the binary logarithm, rounded, of what callers lose without it, for the engine time that it needs
 * @property latestStartMillis when its prefill has to start for its objective
 */
internal data class AdmissionRank(
    val priority: Int,
    val neglected: Boolean,
    val value: Int,
    val latestStartMillis: Long,
) : Comparable<AdmissionRank> {
    override fun compareTo(other: AdmissionRank): Int = ORDER.compare(this, other)

    /** The rank while there is room for all: by priority and latest start alone. */
    fun withoutValue(): AdmissionRank = copy(neglected = false, value = 0)

    private companion object {
        val ORDER = compareBy<AdmissionRank> { it.priority }
            .thenByDescending { it.neglected }
            .thenByDescending { it.value }
            .thenBy { it.latestStartMillis }
    }
}
