package org.bulrushtack.core.settings

/** Finds the right name that is nearest to a mistyped one, by edit distance. */
public object NearestName {
    /** The nearest of [names] to [wrong]; an empty string when there are none. */
    public fun find(wrong: String, names: Collection<String>): String =
        names.minByOrNull { distance(wrong, it) }.orEmpty()

    private fun distance(first: String, second: String): Int {
        var previous = IntArray(second.length + 1) { it }
        for (row in 1..first.length) {
            val current = IntArray(second.length + 1)
            current[0] = row
            for (column in 1..second.length) {
                val change = if (first[row - 1] == second[column - 1]) 0 else 1
                val replaced = previous[column - 1] + change
                current[column] = minOf(previous[column] + 1, current[column - 1] + 1, replaced)
            }
            previous = current
        }
        return previous[second.length]
    }
}
