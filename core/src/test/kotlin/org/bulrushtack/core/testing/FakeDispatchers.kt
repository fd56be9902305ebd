package org.bulrushtack.core.testing

import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.placement.Placement
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementLedger
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.Scheduler
import org.bulrushtack.core.placement.ServerHealth
import org.bulrushtack.core.route.CallerLimits
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.route.ServiceProfile
import kotlin.random.Random

/** The dispatchers that are compared: the product's scheduler and simple baselines. */
internal object FakeDispatchers {
    /** The engines of the users' first site. */
    val PROFILE = EngineProfile(
        slots = 11,
        memoryTokens = 315_000,
        stride = 51,
        stepMillis = 0.85,
        requestMillis = 0.00618,
        contextMillis = 0.00285,
        prefillTokensPerMilli = 177.0,
        attentionMillisPerMillionPairs = 0.184,
        chunkTokens = 2_048,
        hopMillis = 0.05,
        meanAnswerTokens = 1_622,
    )

    /** Sends each prompt to the next engine. */
    fun roundRobin(size: Int): FakeFleet.Dispatcher = object : FakeFleet.Dispatcher {
        private var next = 0
        override val isWaiting = false

        override fun submit(prompt: FakePrompt, nowMillis: Long): FakeFleet.Target {
            next = (next + 1) % size
            return FakeFleet.Target(promptId = prompt.id, engines = listOf(next))
        }

        override fun review(nowMillis: Long): List<FakeFleet.Target> = emptyList()

        override fun completed(promptId: String, nowMillis: Long) = Unit
    }

    /** Sends each prompt to the engine with the fewest requests. */
    fun leastRequests(size: Int): FakeFleet.Dispatcher = object : FakeFleet.Dispatcher {
        private val running = HashMap<String, Int>()
        override val isWaiting = false

        override fun submit(prompt: FakePrompt, nowMillis: Long): FakeFleet.Target {
            val engine = (0 until size).minBy { candidate -> running.values.count { it == candidate } }
            running[prompt.id] = engine
            return FakeFleet.Target(promptId = prompt.id, engines = listOf(engine))
        }

        override fun review(nowMillis: Long): List<FakeFleet.Target> = emptyList()

        override fun completed(promptId: String, nowMillis: Long) {
            running.remove(promptId)
        }
    }

    /** The product's scheduler. */
    fun scheduler(size: Int): FakeFleet.Dispatcher = SchedulerDispatcher(size)

    private class SchedulerDispatcher(size: Int) : FakeFleet.Dispatcher {
        private val fleet = FleetRegion()
        private val routing = RoutingTable(
            RoutingConfiguration(
                version = 1,
                routes = emptyList(),
                services = listOf(ServiceProfile(FakePrompt.SERVICE, "/", 300, 0.0, PROFILE)),
                limits = CallerLimits(),
                workspaces = null,
            ),
        )
        private val retryAfterPolicy = RetryAfterPolicy(Random(1))
        private val scheduler = Scheduler(fleet, PlacementLedger(), ServerHealth(), retryAfterPolicy) { routing }
        private val placed = HashMap<String, Placement>()

        init {
            repeat(size) { number ->
                val entry = BackendServerEntry("$number", FakePrompt.SERVICE, "$number", "a", 11, false, 0, 0)
                fleet.put(entry, nowMillis = 0)
            }
        }

        override val isWaiting: Boolean get() = scheduler.waiting > 0

        override fun submit(prompt: FakePrompt, nowMillis: Long): FakeFleet.Target? =
            target(scheduler.submit(prompt.request(nowMillis), nowMillis))

        override fun review(nowMillis: Long): List<FakeFleet.Target> =
            scheduler.review(nowMillis).mapNotNull { target(it) }

        override fun completed(promptId: String, nowMillis: Long) {
            val first = placed.getValue(promptId).first.serverId
            scheduler.release(PlacementReport(promptId, first, PlacementOutcome.SUCCEEDED, slowness = 1.0), nowMillis)
        }

        private fun target(decision: PlacementDecision): FakeFleet.Target? {
            val placement = (decision as? PlacementDecision.Placed)?.placement ?: return null
            placed[placement.id] = placement
            val engines = (listOf(placement.first) + placement.helpers).map { it.serverId.toInt() }
            return FakeFleet.Target(promptId = placement.id, engines = engines)
        }
    }
}
