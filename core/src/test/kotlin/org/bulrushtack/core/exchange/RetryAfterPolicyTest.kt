package org.bulrushtack.core.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import kotlin.random.Random

/** The pattern: many callers are refused in the same moment. */
class RetryAfterPolicyTest : AnnotationSpec() {
    private fun advice(waiting: Int, servers: Int): List<Long> {
        val testSubject = RetryAfterPolicy(Random(1))
        return List(CALLERS) { testSubject.afterMillis(waiting = waiting, servers = servers) }
    }

    @Test
    fun `callers that are refused together come back spread over the time`() {
        val times = advice(waiting = 0, servers = 18)

        times.forEach { it shouldBeInRange 500L..1_000L }
        times.groupBy { it / 100 }.values.maxOf { it.size } shouldBeLessThan CALLERS / 2
    }

    @Test
    fun `the longer the queue, the later and the wider they come back`() {
        advice(waiting = 90, servers = 18).average() shouldBeGreaterThan advice(waiting = 18, servers = 18).average()
    }

    @Test
    fun `no caller is told to stay away for long, and none to come at once`() {
        advice(waiting = 10_000, servers = 0).forEach { it shouldBeInRange 500L..3_500L }
    }

    private companion object {
        const val CALLERS = 400
    }
}
