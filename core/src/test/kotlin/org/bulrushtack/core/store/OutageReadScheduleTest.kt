package org.bulrushtack.core.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeAtLeast
import io.kotest.matchers.longs.shouldBeAtMost
import kotlin.random.Random

class OutageReadScheduleTest : AnnotationSpec() {
    /** How long a daemon waits for its next try after [FAILURES] failed ones, while another daemon reads the store. */
    private fun waitMillis(seed: Int, failing: Int): Long {
        val testSubject = OutageReadSchedule(turn = { ReadTurn(index = 0, count = failing) }, random = Random(seed))
        repeat(FAILURES) { testSubject.recordFailure(sentAtMillis = it * 2L, nowMillis = it * 2L + 1, failing) }
        val failedAtMillis = FAILURES * 2L - 1
        val waits = generateSequence(0L) { it + STEP_MILLIS }
        return waits.first { testSubject.shouldTry(overdueMillis = -1, isReader = false, failedAtMillis + it) }
    }

    // Guards against daemons that say for minutes after an outage that they can't read the store.
    @Test
    fun `with many daemons that failed each tries again within 15 seconds`() =
        SEEDS.maxOf { waitMillis(seed = it, failing = MANY) } shouldBeAtMost LONGEST_MILLIS

    // Guards against many daemons that all try at the same time after an outage.
    @Test
    fun `the tries of many daemons that failed are spread over time`() {
        val waits = SEEDS.map { waitMillis(seed = it, failing = MANY) }

        waits.max() - waits.min() shouldBeAtLeast SPREAD_MILLIS
    }

    private companion object {
        const val FAILURES = 3
        const val MANY = 140
        const val STEP_MILLIS = 10L
        const val LONGEST_MILLIS = 15_000L
        const val SPREAD_MILLIS = 9_000L
        val SEEDS = 1..MANY
    }
}
