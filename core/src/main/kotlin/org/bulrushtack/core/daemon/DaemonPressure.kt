package org.bulrushtack.core.daemon

/**
 * Judges from how late the network thread runs, and from how full the memory for bodies is, which part of its capacity
 * this daemon lacks. It changes in a few steps and not often, since all daemons are told of each change.
 */
public class DaemonPressure {
    private var averageLatenessMillis = 0.0
    private var steppedAtMillis = 0L

    /** The part of the capacity that is lacking, in per cent. */
    public var percent: Long = 0
        private set

    /** Records that the thread ran [latenessMillis] late at [nowMillis], with [memoryShare] of the memory in use. */
    public fun record(latenessMillis: Long, memoryShare: Double, nowMillis: Long) {
        val lateness = latenessMillis.coerceIn(0, LARGEST_LATENESS_MILLIS).toDouble()
        averageLatenessMillis += (lateness - averageLatenessMillis) * WEIGHT
        val byMemory = (memoryShare - CALM_MEMORY_SHARE) / (1 - CALM_MEMORY_SHARE)
        val part = maxOf(averageLatenessMillis / FULL_LATENESS_MILLIS, byMemory).coerceIn(0.0, 1.0)
        val steps = part * STEPS
        val isOtherStep = steps > step + HYSTERESIS || steps < step - HYSTERESIS
        if (isOtherStep && nowMillis - steppedAtMillis >= STEP_MILLIS) {
            steppedAtMillis = nowMillis
            percent = minOf(steps.toLong(), STEPS - 1) * PER_CENT / STEPS
        }
    }

    private val step: Long get() = percent * STEPS / PER_CENT
}

/** Callers lose half of a usual objective of 120 ms when the thread runs this late on average. */
private const val FULL_LATENESS_MILLIS = 60.0

/** One suspension of the process is no step. */
private const val LARGEST_LATENESS_MILLIS = 100L

/** About one second of ticks. */
private const val WEIGHT = 0.1
private const val CALM_MEMORY_SHARE = 0.5
private const val STEPS = 4L

/** Part of a step. */
private const val HYSTERESIS = 0.99
private const val STEP_MILLIS = 1_000L
private const val PER_CENT = 100L
