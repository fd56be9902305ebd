package org.bulrushtack.core.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route
import kotlin.random.Random

class ResendPolicyTest : AnnotationSpec() {
    private fun route(repeatability: Repeatability, maximumSends: Int) = Route(
        name = "route",
        host = "one.example",
        pathPrefix = "/",
        streamed = false,
        repeatability = repeatability,
        timeoutMillis = 800,
        objectiveMillis = 100,
        tokenGapMillis = null,
        priority = 1,
        split = emptyList(),
        maximumSends = maximumSends,
        open = false,
    )

    @Test
    fun `a request that may run once is not sent again after any send in which it may have run`() {
        repeat(DRAWS) { draw ->
            val random = Random(draw)
            val route = route(Repeatability.ONCE, maximumSends = 1 + random.nextInt(3))
            val outcomes = SendOutcome.entries
            var sends = SendCount()
            var mayHaveRun = 0

            do {
                val outcome = outcomes[random.nextInt(outcomes.size)]
                sends = sends.after(outcome)
                if (outcome.mayHaveRun) mayHaveRun += 1
            } while (ResendPolicy.mayResend(route, sends, outcome))

            mayHaveRun shouldBeLessThanOrEqual 1
            sends.arrived shouldBeLessThanOrEqual route.maximumSends
            sends.mayHaveRun shouldBe (mayHaveRun > 0)
        }
    }

    @Test
    fun `a repeatable request goes to another server after a loss, up to its route's maximum of sends`() {
        val safe = route(Repeatability.SAFE, maximumSends = 2)
        val once = SendCount().after(SendOutcome.UNKNOWN)

        ResendPolicy.mayResend(safe, once, SendOutcome.UNKNOWN) shouldBe true
        ResendPolicy.mayResend(safe, once.after(SendOutcome.UNKNOWN), SendOutcome.UNKNOWN) shouldBe false
    }

    private companion object {
        const val DRAWS = 500
    }
}
