package org.bulrushtack.core.scaling

import org.bulrushtack.core.route.ScaleLimits

/** Decides the orders for the servers of one service from its load and the list of its servers. */
public class ServiceScaler(
    private val service: String,
    private val recentLoad: LoadEstimator,
    private val usualLoad: LoadEstimator,
) {
    private val policy = ServerNumberPolicy()
    private val loweringDelay = LoweringDelay()
    private val spread = DataCentreSpread()
    private val schedules = HashMap<String, OrderSchedule>()
    private var numbers = emptyMap<String, Int>()

    /** Estimates the load of [service] from what arrives after [startedAtMillis]. */
    public constructor(service: String, startedAtMillis: Long) : this(
        service = service,
        recentLoad = DecayedLoadEstimator(RECENT_TIME_CONSTANT_MILLIS, startedAtMillis),
        usualLoad = DecayedLoadEstimator(USUAL_TIME_CONSTANT_MILLIS, startedAtMillis),
    )

    /** The last computed number of servers, or null before the first. */
    public var lastNumber: ServerNumber? = null
        private set

    /** The load from which it was computed. */
    public var lastLoad: LoadView? = null
        private set

    /** Adds arriving [work], in engine milliseconds. */
    public fun addWork(work: EngineWork, nowMillis: Long) {
        recentLoad.add(work, nowMillis)
        usualLoad.add(work, nowMillis)
    }

    /**
     * The orders that are due. The caller records which of them it sends, and its result.
     */
    public fun orders(
        dataCentres: List<DataCentreServers>,
        service: ScaledService,
        waitingMillis: Double,
        nowMillis: Long,
    ): List<ScaleOrder> {
        val serving = dataCentres.filter { it.isServing }
        val usable = serving.sumOf { it.usable }
        val load = LoadView(recentLoad.load(nowMillis), usualLoad.load(nowMillis), waitingMillis)
        val floor = policy.floor(service.profile, service.longestObjectiveMillis)
        val number = policy.number(load, largestShare(serving), floor)
        lastLoad = load
        lastNumber = number
        val maximum = spread.maximum(serving, service.limits)
        val total = loweringDelay.follow(
            want = minOf(number.total, maximum),
            least = minOf(number.least, maximum),
            present = usable,
            nowMillis = nowMillis,
        )
        numbers = spread.spread(total, dataCentres, service.limits)
        return serving.mapNotNull { order(it, service.limits, nowMillis) }
    }

    /** Records that [order] is sent. */
    public fun recordSent(order: ScaleOrder, nowMillis: Long) {
        schedules.getValue(order.dataCentre).recordSent(nowMillis)
    }

    /** Records the result of [order]; [jitter] from 0 to 1 spreads the next attempt after a failure. */
    public fun recordResult(order: ScaleOrder, isAccepted: Boolean, nowMillis: Long, jitter: Double) {
        val schedule = schedules.getValue(order.dataCentre)
        if (isAccepted) schedule.recordAccepted(order.desired, nowMillis) else schedule.recordFailure(nowMillis, jitter)
    }

    /** The number of servers that is desired in [dataCentre] now, or null if none was computed. */
    public fun desired(dataCentre: String): Int? = numbers[dataCentre]

    /** The last number that the platform has acknowledged for [dataCentre], or null. */
    public fun acknowledged(dataCentre: String): Int? = schedules[dataCentre]?.lastAcknowledged

    /**
     * The order for one data centre. The platform raises each order to the minimum, and the servers can't be ordered
     * away again: where fewer are there, they stay until the minimum is needed.
     */
    private fun order(dataCentre: DataCentreServers, limits: ScaleLimits, nowMillis: Long): ScaleOrder? {
        val desired = numbers.getValue(dataCentre.name)
        if (desired < limits.minimum) return null
        val schedule = schedules.getOrPut(dataCentre.name) { OrderSchedule() }
        val patienceMillis = limits.bootMillis + PATIENCE_BEYOND_BOOT_MILLIS
        return schedule.due(desired, dataCentre.usable, patienceMillis, nowMillis)?.let { reason ->
            ScaleOrder(service, dataCentre.name, desired, reason)
        }
    }

    private fun largestShare(serving: List<DataCentreServers>): Double {
        val sum = serving.sumOf { it.usable }
        return if (sum == 0 || serving.size == 1) 0.0 else serving.maxOf { it.usable }.toDouble() / sum
    }
}

/** How long after a server should serve the list may still show another number. */
private const val PATIENCE_BEYOND_BOOT_MILLIS = 10_000L

/**
 * Long prompts are few, so that the load over a few seconds is mostly noise: 3 s for the recent load gave a number that
 * swung between 42 and 60 where 36 to 39 is best (trials in docs/design/scaling.md).
 */
private const val RECENT_TIME_CONSTANT_MILLIS = 10_000.0
private const val USUAL_TIME_CONSTANT_MILLIS = 30_000.0
