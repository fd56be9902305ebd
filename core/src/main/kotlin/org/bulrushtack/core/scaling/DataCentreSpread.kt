package org.bulrushtack.core.scaling

import org.bulrushtack.core.route.ScaleLimits

/**
 * Spreads a number of servers over the data centres that serve. It starts from the servers that are usable there and
 * then changes as few numbers as possible, since each change is an order and a server that is ordered away is lost.
 */
internal class DataCentreSpread {
    private var plan = emptyMap<String, Int>()

    /** The most servers that the data centres of [serving] may have together. */
    fun maximum(serving: List<DataCentreServers>, limits: ScaleLimits): Int = limits.maximum * maxOf(1, serving.size)

    /**
     * The number for each data centre of [dataCentres] that serves; their sum is [total], as far as [limits] allow. A
     * number below the minimum stands for a data centre that has fewer servers than that and needs no more.
     */
    fun spread(total: Int, dataCentres: List<DataCentreServers>, limits: ScaleLimits): Map<String, Int> {
        val serving = dataCentres.filter { it.isServing }
        val ranges = serving.associate { it.name to range(it, limits) }
        val kept = plan.filterKeys { it in ranges }
        val numbers = serving.associateTo(LinkedHashMap()) {
            it.name to (kept[it.name] ?: it.usable).coerceIn(ranges.getValue(it.name))
        }
        if (numbers.isNotEmpty()) {
            adjust(numbers, total, weights = serving.associate { it.name to maxOf(1, it.usable) }, ranges)
        }
        plan = numbers
        return numbers
    }

    private fun range(dataCentre: DataCentreServers, limits: ScaleLimits): IntRange {
        val minimum = if (dataCentre.usable < limits.minimum) 1 else maxOf(1, limits.minimum)
        return minimum..maxOf(minimum, limits.maximum)
    }

    private fun adjust(
        numbers: MutableMap<String, Int>,
        total: Int,
        weights: Map<String, Int>,
        ranges: Map<String, IntRange>,
    ) {
        fun ratio(name: String, number: Int) = number.toDouble() / weights.getValue(name)
        var missing = total - numbers.values.sum()
        while (missing != 0) {
            val step = if (missing > 0) 1 else -1
            val changeable = numbers.filter { (name, number) -> number + step in ranges.getValue(name) }.keys
            val name = if (step > 0) {
                changeable.minByOrNull { ratio(it, numbers.getValue(it) + 1) }
            } else {
                changeable.maxByOrNull { ratio(it, numbers.getValue(it)) }
            } ?: break
            numbers.merge(name, step, Int::plus)
            missing -= step
        }
    }
}
