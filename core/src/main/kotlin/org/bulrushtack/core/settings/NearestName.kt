package org.bulrushtack.core.settings

/** Finds the valid name that is nearest to a mistyped one, by edit distance. */
public object NearestName {
    /** Returns the nearest of [names] to [mistyped]; an empty string when [names] is empty. */
    public fun find(mistyped: String, names: Collection<String>): String =
        names.minByOrNull { distance(mistyped, it) }.orEmpty()

    private fun distance(first: String, second: String): Int {
        var previous = IntArray(second.length + 1) { it }
        for (row in 1..first.length) {
            val current = IntArray(second.length + 1)
            current[0] = row
            for (column in 1..second.length) {
                val substitutionCost = if (first[row - 1] == second[column - 1]) 0 else 1
                val substitution = previous[column - 1] + substitutionCost
                current[column] = minOf(previous[column] + 1, current[column - 1] + 1, substitution)
            }
            previous = current
        }
        return previous[second.length]
    }
}
