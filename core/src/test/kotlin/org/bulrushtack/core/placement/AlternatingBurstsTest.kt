package org.bulrushtack.core.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import org.bulrushtack.core.testing.FakeDispatchers
import org.bulrushtack.core.testing.FakeFleet
import org.bulrushtack.core.testing.FakeLoad
import org.bulrushtack.core.testing.FakePrompt

/** Simulates a fleet of engines under bursts of short and of long prompts that alternate every ten seconds. */
class AlternatingBurstsTest : AnnotationSpec() {
    private val size = 18

    private fun simulate(dispatcher: FakeFleet.Dispatcher, load: List<FakePrompt>): Earned {
        val results = FakeFleet(FakeDispatchers.PROFILE, size, dispatcher).run(load)
        return Earned(load = load, results = results)
    }

    @Test
    fun `every kind of prompt earns its minimum share under alternating bursts`() {
        val load = FakeLoad(seed = 7).prompts()

        val earned = simulate(FakeDispatchers.scheduler(size), load)

        listOf("short", "medium", "long").forEach { kind -> earned.share(kind) shouldBeGreaterThanOrEqualTo KIND_SHARE }
    }

    @Test
    fun `placement by predicted time to first token earns more than balancing requests evenly`() {
        (1..SEEDS).forEach { seed ->
            val load = FakeLoad(seed = seed).prompts()

            val scheduled = simulate(FakeDispatchers.scheduler(size), load).total

            scheduled shouldBeGreaterThan simulate(FakeDispatchers.roundRobin(size), load).total
            scheduled shouldBeGreaterThan simulate(FakeDispatchers.leastRequests(size), load).total
        }
    }

    @Test
    fun `the largest tenth of the long prompts is served at least half as often as all long prompts`() {
        val load = FakeLoad(seed = 11, durationMillis = 60_000).prompts()

        val earned = simulate(FakeDispatchers.scheduler(size), load)

        earned.servedShareOfLargest("long") shouldBeGreaterThanOrEqualTo earned.servedShare("long") / 2
    }

    @Test
    fun `the remaining engines earn the target share while one of three data centres is missing`() {
        val shares = (1..SEEDS).map { seed ->
            val load = FakeLoad(seed = seed, durationMillis = 40_000).prompts()
            val engines = size - size / 3
            val results = FakeFleet(FakeDispatchers.PROFILE, engines, FakeDispatchers.scheduler(engines)).run(load)
            Earned(load = load, results = results).total
        }

        shares.average() shouldBeGreaterThanOrEqualTo TARGET_SHARE
    }

    @Test
    fun `long prompts are not held back by newer ones that share their engines while a third of the engines is lost`() {
        val shares = (1..GROWN_SEEDS).map { seed ->
            val load = FakeLoad(seed = seed, durationMillis = 40_000, kinds = FakeLoad.grownSite()).prompts()
            val results = FakeFleet(FakeDispatchers.PROFILE, 40, FakeDispatchers.scheduler(40)).run(load)
            Earned(load = load, results = results).total
        }

        shares.average() shouldBeGreaterThanOrEqualTo SHARE_WITH_A_THIRD_LOST
    }

    private class Earned(
        private val load: List<FakePrompt>,
        private val results: List<FakeFleet.Result>,
    ) {
        private val byId = results.associateBy { it.prompt.id }

        val total: Double get() = results.sumOf { it.earned * it.prompt.worth } / load.sumOf { it.worth }

        fun share(kind: String): Double =
            results.filter { it.prompt.kind == kind }.sumOf { it.earned } / load.count { it.kind == kind }

        fun servedShare(kind: String): Double = servedShare(load.filter { it.kind == kind })

        fun servedShareOfLargest(kind: String): Double {
            val ofKind = load.filter { it.kind == kind }.sortedByDescending { it.promptTokens }
            return servedShare(ofKind.take(maxOf(1, ofKind.size / 10)))
        }

        private fun servedShare(prompts: List<FakePrompt>): Double =
            prompts.count { it.id in byId }.toDouble() / prompts.size
    }

    private companion object {
        /** The share that the users require for each kind on a day without faults at their first site. */
        const val KIND_SHARE = 0.43
        const val SEEDS = 5
        const val GROWN_SEEDS = 2

        /** The mean share of worth that the users set as their target on days with faults. */
        const val TARGET_SHARE = 0.71

        /** The project's own aim for the simulated load with a third of the engines lost. */
        const val SHARE_WITH_A_THIRD_LOST = 0.88
    }
}
