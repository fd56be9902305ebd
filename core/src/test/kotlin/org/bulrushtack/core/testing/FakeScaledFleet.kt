package org.bulrushtack.core.testing

import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.placement.Placement
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementLedger
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.Scheduler
import org.bulrushtack.core.placement.ServerHealth
import org.bulrushtack.core.route.CallerLimits
import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.route.ScaleLimits
import org.bulrushtack.core.route.ServiceProfile
import org.bulrushtack.core.scaling.DataCentreServers
import org.bulrushtack.core.scaling.EngineWork
import org.bulrushtack.core.scaling.LoadEstimator
import org.bulrushtack.core.scaling.RequestWork
import org.bulrushtack.core.scaling.ScaledService
import org.bulrushtack.core.scaling.ServiceScaler
import kotlin.random.Random

/**
 * A simulated site whose engines are ordered by [ServiceScaler]: an ordered engine serves after its boot time, an
 * engine that is ordered away finishes what runs there, and each is billed from its order until its end. Without
 * [estimators] the number of engines stays as it is.
 */
internal class FakeScaledFleet(
    private val size: Int,
    private val estimators: Estimators?,
    private val durationMillis: Long,
    seed: Int,
) {
    private val random = Random(seed)
    private val profile = FakeDispatchers.PROFILE
    private val model = EngineModel(profile)
    private val fleet = FleetRegion()
    private val engines = LinkedHashMap<String, Machine>()
    private val booting = mutableListOf<Boot>()
    private val routing = RoutingTable(
        RoutingConfiguration(
            version = 1,
            routes = emptyList(),
            services = listOf(ServiceProfile(FakePrompt.SERVICE, "/", 300, 0.0, profile)),
            limits = CallerLimits(),
            workspaces = null,
        ),
    )
    private val scheduler =
        Scheduler(fleet, PlacementLedger(), ServerHealth(), RetryAfterPolicy(Random(1))) { routing }
    private val scaler = estimators?.let {
        ServiceScaler(FakePrompt.SERVICE, it.recent(HOLD_MILLIS), it.usual(HOLD_MILLIS))
    }
    private val placed = HashMap<String, Placement>()
    private val partsLeft = HashMap<String, Int>()
    private val prompts = HashMap<String, FakePrompt>()
    private val waiting = HashMap<String, Double>()
    private val results = mutableListOf<FakeFleet.Result>()
    private var unreported = EngineWork.NONE
    private var started = 0
    private var nowMillis = 0.0

    /** Runs [load] and returns what it earned and what the engines cost until the end of the day. */
    fun run(load: List<FakePrompt>): Day {
        repeat(size) { addEngine(DATA_CENTRES[it % DATA_CENTRES.size], atMillis = 0.0) }
        val arrivals = ArrayDeque(load)
        var tick = 0L
        while (nowMillis < durationMillis + TAIL_MILLIS) {
            val arrival = arrivals.firstOrNull()?.arrivesAtMillis?.toDouble() ?: Double.MAX_VALUE
            val passEnd = engines.values.mapNotNull { it.engine.passEndsAtMillis }.minOrNull() ?: Double.MAX_VALUE
            val tickAt = tick * TICK_MILLIS.toDouble()
            nowMillis = minOf(arrival, passEnd, tickAt)
            if (nowMillis == arrival) arrive(arrivals.removeFirst())
            engines.values.filter { it.engine.passEndsAtMillis == nowMillis }.forEach { endPass(it) }
            if (nowMillis == tickAt) onTick(tick++)
            scheduler.review(nowMillis.toLong()).forEach { decided(it) }
        }
        val billedMillis = engines.values.sumOf { billed(it.fromMillis, it.endsAtMillis) } +
            booting.sumOf { billed(it.orderedAtMillis, Double.MAX_VALUE) }
        return Day(load = load, results = results, billedSeconds = billedMillis / 1_000)
    }

    private fun billed(fromMillis: Double, untilMillis: Double): Double =
        maxOf(0.0, minOf(untilMillis, durationMillis.toDouble()) - fromMillis)

    private fun onTick(tick: Long) {
        booting.filter { it.orderedAtMillis + BOOT_MILLIS <= nowMillis }.forEach {
            booting.remove(it)
            addEngine(it.dataCentre, atMillis = it.orderedAtMillis)
        }
        engines.values.filter { it.hasFinished }.forEach { it.endsAtMillis = nowMillis }
        if (tick % TICKS_PER_REPORT == 0L && nowMillis >= HOLD_MILLIS) {
            scaler?.addWork(unreported, nowMillis.toLong())
            unreported = EngineWork.NONE
        }
        if (nowMillis < HOLD_MILLIS) unreported = EngineWork.NONE
        if (nowMillis >= HOLD_MILLIS + KNOWN_MILLIS) order()
    }

    private fun order() {
        val atMillis = nowMillis.toLong()
        val dataCentres = DATA_CENTRES.map { name ->
            val usable = fleet.usableOf(FakePrompt.SERVICE, atMillis).count { it.entry.dataCentre == name }
            DataCentreServers(name, usable = usable, present = usable, isServing = true)
        }
        scaler?.orders(dataCentres, SERVICE, waiting.values.sum(), atMillis)?.forEach {
            carryOut(it.dataCentre, it.desired)
            scaler.recordSent(it, atMillis)
            scaler.recordResult(it, isAccepted = true, nowMillis = atMillis, jitter = 0.0)
        }
    }

    private fun carryOut(dataCentre: String, desired: Int) {
        val usable = fleet.usableOf(FakePrompt.SERVICE, nowMillis.toLong()).filter { it.entry.dataCentre == dataCentre }
        val coming = booting.filter { it.dataCentre == dataCentre }
        val missing = desired - usable.size - coming.size
        if (missing > 0) repeat(missing) { booting.add(Boot(dataCentre, nowMillis)) }
        val cancelled = coming.takeLast(minOf(coming.size, maxOf(0, -missing)))
        booting.removeAll(cancelled)
        usable.shuffled(random).take(maxOf(0, -missing - cancelled.size)).forEach {
            fleet.markLost(it.entry.id, nowMillis.toLong())
            engines.getValue(it.entry.id).isLeaving = true
        }
    }

    private fun addEngine(dataCentre: String, atMillis: Double) {
        val id = "${started++}"
        engines[id] = Machine(FakeEngine(profile), fromMillis = atMillis)
        fleet.put(BackendServerEntry(id, FakePrompt.SERVICE, id, dataCentre, 11, false, 0, 0), nowMillis.toLong())
    }

    private fun arrive(prompt: FakePrompt) {
        prompts[prompt.id] = prompt
        val request = prompt.request(nowMillis.toLong())
        val work = RequestWork.of(request.shape, request.tokenGapMillis, profile)
        unreported += work
        waiting[prompt.id] = work.total
        decided(scheduler.submit(request, nowMillis.toLong()))
    }

    private fun decided(decision: PlacementDecision) {
        if (decision !is PlacementDecision.Waiting) waiting.remove(decision.id)
        val placement = (decision as? PlacementDecision.Placed)?.placement ?: return
        val prompt = prompts.getValue(placement.id)
        val parts = listOf(placement.first) + placement.helpers
        placed[placement.id] = placement
        partsLeft[prompt.id] = parts.size
        val tokens = prompt.promptTokens.toDouble() / parts.size
        val perToken = model.prefillMillis(prompt.promptTokens) / prompt.promptTokens
        parts.forEachIndexed { index, part ->
            engines.getValue(part.serverId).engine
                .add(FakeEngine.Part(prompt.id, index == 0, tokens, perToken), nowMillis)
        }
    }

    private fun endPass(machine: Machine) = machine.engine.endPass(
        onPrefilled = { part ->
            val left = partsLeft.getValue(part.promptId) - 1
            partsLeft[part.promptId] = left
            if (left == 0) decode(prompts.getValue(part.promptId))
        },
        onCompleted = { answer ->
            val prompt = prompts.getValue(answer.promptId)
            val first = answer.firstAtMillis - prompt.arrivesAtMillis
            results.add(FakeFleet.Result(prompt, first, answer.longestTokenGapMillis))
            val server = placed.getValue(prompt.id).first.serverId
            val report = PlacementReport(prompt.id, server, PlacementOutcome.SUCCEEDED, slowness = 1.0)
            scheduler.release(report, nowMillis.toLong())
        },
    )

    private fun decode(prompt: FakePrompt) {
        val answer = FakeEngine.Answer(prompt.id, prompt.promptTokens, prompt.events)
        engines.getValue(placed.getValue(prompt.id).first.serverId).engine.decode(answer, nowMillis)
    }

    /** Creates the estimators of a run, which start at the given time. */
    class Estimators(
        val recent: (Long) -> LoadEstimator,
        val usual: (Long) -> LoadEstimator,
    )

    /** What a simulated day earned and cost. */
    class Day(
        private val load: List<FakePrompt>,
        private val results: List<FakeFleet.Result>,
        val billedSeconds: Double,
    ) {
        /** The share of the prompts whose first event came within the objective. */
        val inTime: Double
            get() = results.count { it.timeToFirstTokenMillis <= it.prompt.objectiveMillis }.toDouble() / load.size

        /** The share of the worth of all prompts that was earned. */
        val earned: Double get() = results.sumOf { it.earned * it.prompt.worth } / load.sumOf { it.worth }

        /** The share of the prompts of [kind] whose first event came within the objective. */
        fun inTime(kind: String): Double {
            val ofKind = results.filter { it.prompt.kind == kind }
            return ofKind.count { it.timeToFirstTokenMillis <= it.prompt.objectiveMillis }.toDouble() /
                load.count { it.kind == kind }
        }
    }

    private class Machine(
        val engine: FakeEngine,
        val fromMillis: Double,
    ) {
        var isLeaving = false
        var endsAtMillis = Double.MAX_VALUE
        val hasFinished: Boolean get() = isLeaving && engine.inFlight == 0 && endsAtMillis == Double.MAX_VALUE
    }

    private data class Boot(
        val dataCentre: String,
        val orderedAtMillis: Double,
    )

    private companion object {
        val DATA_CENTRES = listOf("a", "b", "c")
        val LIMITS = ScaleLimits(minimum = 1, maximum = 20, bootMillis = 8_000)
        val SERVICE = ScaledService(FakePrompt.SERVICE, FakeDispatchers.PROFILE, LIMITS, longestObjectiveMillis = 4_000)
        const val BOOT_MILLIS = 8_000.0
        const val TICK_MILLIS = 20L
        const val TICKS_PER_REPORT = 25L
        const val TAIL_MILLIS = 10_000L

        /** When a daemon has the duties, and how much longer it takes to know the load. */
        const val HOLD_MILLIS = 3_000L
        const val KNOWN_MILLIS = 3_000L
    }
}
