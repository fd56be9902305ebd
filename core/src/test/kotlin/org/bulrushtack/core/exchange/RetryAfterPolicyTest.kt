package org.bulrushtack.core.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import kotlin.random.Random

/** Guards against callers that are refused at the same time and all retry at the same time. */
class RetryAfterPolicyTest : AnnotationSpec() {
    private fun delays(waiting: Int, servers: Int): List<Long> {
        val testSubject = RetryAfterPolicy(Random(1))
        return List(CALLERS) { testSubject.delayMillis(waiting = waiting, servers = servers) }
    }

    @Test
    fun `callers that are refused at the same time get different retry delays`() {
        val delays = delays(waiting = 0, servers = 18)

        delays.forEach { it shouldBeInRange 500L..1_000L }
        delays.groupBy { it / 100 }.values.maxOf { it.size } shouldBeLessThan CALLERS / 2
    }

    @Test
    fun `a longer queue gives longer and more widely spread delays`() {
        delays(waiting = 90, servers = 18).average() shouldBeGreaterThan delays(waiting = 18, servers = 18).average()
    }

    @Test
    fun `retry delays have a lower and an upper limit`() {
        delays(waiting = 10_000, servers = 0).forEach { it shouldBeInRange 500L..3_500L }
    }

    private companion object {
        const val CALLERS = 400
    }
}
