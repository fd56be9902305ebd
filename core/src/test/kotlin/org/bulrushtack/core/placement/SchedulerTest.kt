package org.bulrushtack.core.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.route.CallerLimits
import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.route.ServiceProfile
import org.bulrushtack.core.testing.FakeDispatchers
import kotlin.random.Random

class SchedulerTest : AnnotationSpec() {
    private var ledger = PlacementLedger()
    private var health = ServerHealth()
    private val service = ServiceProfile("guide", "/", 300, coldPerSecond = 26.0, engine = FakeDispatchers.PROFILE)
    private val routing =
        RoutingTable(RoutingConfiguration(1, emptyList(), listOf(service), CallerLimits(), workspaces = null))

    private fun scheduler(servers: Int): Scheduler {
        val fleet = FleetRegion()
        repeat(servers) { number ->
            val entry = BackendServerEntry("i-$number", "guide", "10.0.0.$number:80", "a", 11, false, 0, 0)
            fleet.put(entry, nowMillis = 0)
        }
        ledger = PlacementLedger()
        health = ServerHealth()
        return Scheduler(fleet, ledger, health, RetryAfterPolicy(Random(1))) { routing }
    }

    private fun request(id: String, tokens: Long, tokenGapMillis: Long = 250, objectiveMillis: Long = 300) =
        PlacementRequest(
            id = id,
            ingressDaemon = "vm-1",
            service = "guide",
            dataCentre = "a",
            shape = PromptShape(promptTokens = tokens, answerTokens = 1_600, maximumAnswerTokens = 2_000),
            tokenGapMillis = tokenGapMillis,
            priority = 1,
            receivedAtMillis = 0,
            objectiveAtMillis = objectiveMillis,
            giveUpAtMillis = 1_000,
        )

    private fun long(id: String, tokens: Long) = request(id, tokens, tokenGapMillis = 1_000, objectiveMillis = 3_000)

    private fun placed(decision: PlacementDecision) = decision.shouldBeInstanceOf<PlacementDecision.Placed>().placement

    private fun serversOf(placement: Placement) =
        (listOf(placement.first) + placement.helpers).map { it.serverId }.toSet()

    @Test
    fun `short prompts are packed onto one engine so that others stay idle`() {
        val testSubject = scheduler(servers = 4)

        val first = placed(testSubject.submit(request("a", 5_000), nowMillis = 0))
        val second = placed(testSubject.submit(request("b", 5_000, objectiveMillis = 500), nowMillis = 200))

        second.first.serverId shouldBe first.first.serverId
    }

    @Test
    fun `a prompt whose prefill alone exceeds the objective is split over several engines`() {
        val testSubject = scheduler(servers = 6)

        val placement = placed(testSubject.submit(long("a", 200_000), nowMillis = 0))

        (placement.helpers.size >= 1) shouldBe true
        (placement.timeToFirstTokenMillis <= 3_000) shouldBe true
    }

    @Test
    fun `a short prompt avoids engines that prefill a long one`() {
        val testSubject = scheduler(servers = 4)
        val long = placed(testSubject.submit(long("a", 200_000), nowMillis = 0))

        val short = placed(testSubject.submit(request("b", 5_000), nowMillis = 10))

        (short.first.serverId in serversOf(long)) shouldBe false
    }

    @Test
    fun `a prompt that exceeds one engine's memory gets enough reserved memory on the helpers`() {
        val testSubject = scheduler(servers = 8)

        val placement = placed(testSubject.submit(long("a", 500_000), nowMillis = 0))

        val reserved = placement.helpers.sumOf { it.reservedTokens }
        (502_000 - reserved <= FakeDispatchers.PROFILE.memoryTokens) shouldBe true
        placement.helpers.all { it.reservedTokens <= FakeDispatchers.PROFILE.memoryTokens } shouldBe true
    }

    @Test
    fun `requests without free capacity wait and are placed when capacity is released`() {
        val testSubject = scheduler(servers = 1)
        placed(testSubject.submit(long("a", 150_000), nowMillis = 0))
        testSubject.submit(request("b", 5_000), nowMillis = 1).shouldBeInstanceOf<PlacementDecision.Waiting>()
        testSubject.submit(request("c", 5_000), nowMillis = 1).shouldBeInstanceOf<PlacementDecision.Waiting>()

        testSubject.release(PlacementReport("a", "i-0", PlacementOutcome.SUCCEEDED, slowness = 1.0), nowMillis = 50)

        testSubject.review(nowMillis = 50).map { it.id } shouldBe listOf("b", "c")
    }

    @Test
    fun `a request is refused as overloaded when its maximum wait is over`() {
        val testSubject = scheduler(servers = 0)
        testSubject.submit(request("a", 5_000), nowMillis = 0).shouldBeInstanceOf<PlacementDecision.Waiting>()

        testSubject.review(nowMillis = 999).size shouldBe 0

        val refused = testSubject.review(nowMillis = 1_000).single().shouldBeInstanceOf<PlacementDecision.Refused>()
        refused.kind shouldBe ErrorKind.OVERLOADED
        testSubject.waiting shouldBe 0
    }

    @Test
    fun `a server that has failed is avoided for a while`() {
        val testSubject = scheduler(servers = 2)
        val first = placed(testSubject.submit(request("a", 5_000), nowMillis = 0)).first.serverId

        testSubject.release(PlacementReport("a", first, PlacementOutcome.FAILED, slowness = null), nowMillis = 10)

        (placed(testSubject.submit(request("b", 5_000), nowMillis = 20)).first.serverId == first) shouldBe false
    }

    @Test
    fun `an ingress daemon's report adds unknown allocations and removes completed ones`() {
        val testSubject = scheduler(servers = 1)
        val allocation = EngineAllocation("x", "vm-2", "i-0", true, 100, 100, 10.0, 250, placedAtMillis = 0)

        testSubject.reconcile(ingressDaemon = "vm-2", reported = listOf(allocation), nowMillis = 10)
        ledger.decodingRequests("i-0") shouldBe 1
        testSubject.reconcile(ingressDaemon = "vm-2", reported = emptyList(), nowMillis = 5_000)

        ledger.decodingRequests("i-0") shouldBe 0
    }

    @Test
    fun `daemons that place requests without knowing of one another don't all select the same engines`() {
        val chosen = (1..20).flatMap { daemon ->
            val isolated = scheduler(servers = 60)
            listOf("a", "b").map { request ->
                val spreadRequest = request("$daemon-$request", 5_000).copy(spread = true)
                placed(isolated.submit(spreadRequest, nowMillis = 0)).first.serverId
            }
        }

        (chosen.groupingBy { it }.eachCount().values.max() <= 4) shouldBe true
    }

    @Test
    fun `an engine that prefills a part for another engine gets no second part, which would go ahead of it`() {
        val testSubject = scheduler(servers = 3)
        val first = placed(testSubject.submit(long("a", 150_000), nowMillis = 0))
        first.helpers.size shouldBe 1

        val second = testSubject.submit(long("b", 170_000).copy(objectiveAtMillis = 3_800), nowMillis = 10)

        second.shouldBeInstanceOf<PlacementDecision.Waiting>()
    }

    @Test
    fun `the slowness of an engine settles at the ratio to its published figures`() {
        val testSubject = scheduler(servers = 1)

        repeat(40) { number ->
            val nowMillis = number * 500L
            val id = "request-$number"
            val idleMillis = 80.0
            val request = request(id, 5_000).copy(receivedAtMillis = nowMillis, objectiveAtMillis = nowMillis + 5_000)
            val predicted = placed(testSubject.submit(request, nowMillis)).timeToFirstTokenMillis
            val slowness = TRUE_SLOWNESS * idleMillis / predicted
            testSubject.release(PlacementReport(id, "i-0", PlacementOutcome.SUCCEEDED, slowness), nowMillis + 100)
        }

        (health.slowness("i-0", nowMillis = 20_000) in TRUE_SLOWNESS * 0.75..TRUE_SLOWNESS * 1.25) shouldBe true
    }

    private companion object {
        const val TRUE_SLOWNESS = 4.0
    }
}
