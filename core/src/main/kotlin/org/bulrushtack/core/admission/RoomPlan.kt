package org.bulrushtack.core.admission

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.route.EngineProfile

/** Assigns waiting requests to the times at which [engines] can take them, in the order of the calls. */
internal class RoomPlan(
    private val engines: List<EngineTimeline>,
    private val profile: EngineProfile,
    private val nowMillis: Long,
) {
    private val model = EngineModel(profile)

    /** The earliest room with which [request] meets its objective, set aside for it; null if there is none. */
    fun reserveInTime(request: PlacementRequest): Room? {
        val budgetMillis = (request.objectiveAtMillis - nowMillis).toDouble()
        return rooms(request).firstOrNull { it.firstTokenInMillis <= budgetMillis }?.also { it.promise() }
    }

    /** As [reserveInTime]; else the room with which [request] gets its first token soonest before it is given up. */
    fun reserveAnyTime(request: PlacementRequest): Room? = reserveInTime(request) ?: rooms(request)
        .filter { nowMillis + it.startMillis <= request.giveUpAtMillis }
        .minByOrNull { it.firstTokenInMillis }
        ?.also { it.promise() }

    /** The room with which [request] gets its first token soonest, set aside for it; null if its memory never fits. */
    fun reserveSoonest(request: PlacementRequest): Room? =
        rooms(request).minByOrNull { it.firstTokenInMillis }?.also { it.promise() }

    private fun rooms(request: PlacementRequest): Sequence<Room> {
        val prefillMillis = model.prefillMillis(request.shape.promptTokens)
        return EngineModel.PART_COUNTS.asSequence()
            .takeWhile { it <= engines.size }
            .filter { it == 1 || prefillMillis / it >= EngineModel.MINIMUM_PART_MILLIS }
            .mapNotNull { room(request, prefillMillis / it, it) }
    }

    private fun room(request: PlacementRequest, partMillis: Double, parts: Int): Room? {
        val tokens = request.shape.promptTokens + request.shape.maximumAnswerTokens
        val need = EngineTimeline.Need(
            partMillis = partMillis,
            passMillis = model.maximumPrefillMillisPerPass(partMillis, request.shape.promptTokens / parts),
            tokens = if (parts == 1) tokens else tokens / parts + 1,
            tokenGapMillis = request.tokenGapMillis,
            decodeMillis = model.decodeMillis(request.shape),
        )
        val first = engines
            .map { Part(it, it.readyInMillis(need, decodes = true)) }
            .minByOrNull { it.startMillis } ?: return null
        val helpers = if (parts == 1) emptyList() else helpers(first, need, parts - 1)
        val startMillis = (helpers + first).maxOf { it.startMillis }
        return Room(need, first, helpers, startMillis).takeIf { startMillis < Double.POSITIVE_INFINITY }
    }

    private fun helpers(first: Part, need: EngineTimeline.Need, count: Int): List<Part> = engines
        .filter { it !== first.engine }
        .map { Part(it, it.readyInMillis(need, decodes = false)) }
        .sortedBy { it.startMillis }
        .take(count)

    /** One engine of a room, and when it is ready. */
    class Part(
        val engine: EngineTimeline,
        val startMillis: Double,
    )

    /** Room on some engines from [startMillis] on. */
    class Room(
        private val need: EngineTimeline.Need,
        private val first: Part,
        private val helpers: List<Part>,
        val startMillis: Double,
    ) {
        /** The engines of the room. */
        val serverIds: List<String> get() = (helpers + first).map { it.engine.serverId }

        /** The predicted time until the first token. */
        val firstTokenInMillis: Double =
            (helpers + first).maxOf { it.engine.firstTokenInMillis(startMillis, need.partMillis) }

        fun promise() {
            first.engine.promise(need, startMillis, decodes = true)
            helpers.forEach { it.engine.promise(need, startMillis, decodes = false) }
        }
    }
}
