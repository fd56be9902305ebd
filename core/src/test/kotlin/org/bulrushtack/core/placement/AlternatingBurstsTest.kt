package org.bulrushtack.core.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import org.bulrushtack.core.testing.FakeDispatchers
import org.bulrushtack.core.testing.FakeFleet
import org.bulrushtack.core.testing.FakeLoad
import org.bulrushtack.core.testing.FakePrompt

/** The pattern: bursts of short prompts and of long ones take turns every ten seconds, on one fleet of engines. */
class AlternatingBurstsTest : AnnotationSpec() {
    private val size = 18

    private fun play(dispatcher: FakeFleet.Dispatcher, load: List<FakePrompt>): Earned {
        val results = FakeFleet(FakeDispatchers.PROFILE, size, dispatcher).play(load)
        return Earned(load = load, results = results)
    }

    @Test
    fun `every kind earns its floor while bursts of short and long prompts take turns`() {
        val load = FakeLoad(seed = 7).prompts()

        val earned = play(FakeDispatchers.scheduler(size), load)

        listOf("short", "medium", "long").forEach { kind -> earned.share(kind) shouldBeGreaterThanOrEqualTo KIND_FLOOR }
    }

    @Test
    fun `placement by predicted first event earns more than spreading requests evenly`() {
        (1..SEEDS).forEach { seed ->
            val load = FakeLoad(seed = seed).prompts()

            val scheduled = play(FakeDispatchers.scheduler(size), load).total

            scheduled shouldBeGreaterThan play(FakeDispatchers.roundRobin(size), load).total
            scheduled shouldBeGreaterThan play(FakeDispatchers.leastRequests(size), load).total
        }
    }

    @Test
    fun `the largest tenth of the long prompts is served at least half as often as all of them`() {
        val load = FakeLoad(seed = 11, durationMillis = 60_000).prompts()

        val earned = play(FakeDispatchers.scheduler(size), load)

        earned.servedShareOfLargest("long") shouldBeGreaterThanOrEqualTo earned.servedShare("long") / 2
    }

    @Test
    fun `the rest of the engines earn their target while a data centre of them is missing`() {
        val shares = (1..SEEDS).map { seed ->
            val load = FakeLoad(seed = seed, durationMillis = 40_000).prompts()
            val engines = size - size / 3
            val results = FakeFleet(FakeDispatchers.PROFILE, engines, FakeDispatchers.scheduler(engines)).play(load)
            Earned(load = load, results = results).total
        }

        shares.average() shouldBeGreaterThanOrEqualTo TARGET_WORTH
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
        /** The share that the users ask of each kind on the calm day of their first site. */
        const val KIND_FLOOR = 0.43
        const val SEEDS = 5

        /** The mean worth that the users name as their target on days with trouble. */
        const val TARGET_WORTH = 0.71
    }
}
