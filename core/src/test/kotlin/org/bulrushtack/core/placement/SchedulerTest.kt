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
        return Scheduler(fleet, ledger, ServerHealth(), RetryAfterPolicy(Random(1))) { routing }
    }

    private fun request(id: String, tokens: Long, pauseMillis: Long = 250, objectiveMillis: Long = 300) =
        PlacementRequest(
            id = id,
            taker = "vm-1",
            service = "guide",
            dataCentre = "a",
            shape = PromptShape(promptTokens = tokens, answerTokens = 1_600, maximumAnswerTokens = 2_000),
            pauseMillis = pauseMillis,
            priority = 1,
            receivedAtMillis = 0,
            objectiveAtMillis = objectiveMillis,
            giveUpAtMillis = 1_000,
        )

    private fun long(id: String, tokens: Long) = request(id, tokens, pauseMillis = 1_000, objectiveMillis = 3_000)

    private fun placed(decision: PlacementDecision) = decision.shouldBeInstanceOf<PlacementDecision.Placed>().placement

    private fun serversOf(placement: Placement) =
        (listOf(placement.first) + placement.helpers).map { it.serverId }.toSet()

    @Test
    fun `short prompts share an engine while whole engines stay free`() {
        val testSubject = scheduler(servers = 4)

        val first = placed(testSubject.submit(request("a", 5_000), nowMillis = 0))
        val second = placed(testSubject.submit(request("b", 5_000, objectiveMillis = 500), nowMillis = 200))

        second.first.serverId shouldBe first.first.serverId
    }

    @Test
    fun `a prompt whose reading alone misses its objective is read on several engines`() {
        val testSubject = scheduler(servers = 6)

        val placement = placed(testSubject.submit(long("a", 200_000), nowMillis = 0))

        (placement.helpers.size >= 1) shouldBe true
        (placement.firstEventMillis <= 3_000) shouldBe true
    }

    @Test
    fun `a short prompt keeps off engines that read a long one`() {
        val testSubject = scheduler(servers = 4)
        val long = placed(testSubject.submit(long("a", 200_000), nowMillis = 0))

        val short = placed(testSubject.submit(request("b", 5_000), nowMillis = 10))

        (short.first.serverId in serversOf(long)) shouldBe false
    }

    @Test
    fun `a prompt beyond one engine's memory gets reservations that hold it`() {
        val testSubject = scheduler(servers = 8)

        val placement = placed(testSubject.submit(long("a", 500_000), nowMillis = 0))

        val reserved = placement.helpers.sumOf { it.ticketTokens }
        (502_000 - reserved <= FakeDispatchers.PROFILE.memoryTokens) shouldBe true
        placement.helpers.all { it.ticketTokens <= FakeDispatchers.PROFILE.memoryTokens } shouldBe true
    }

    @Test
    fun `requests that find no room wait and get the room that is freed`() {
        val testSubject = scheduler(servers = 1)
        placed(testSubject.submit(long("a", 150_000), nowMillis = 0))
        testSubject.submit(request("b", 5_000), nowMillis = 1).shouldBeInstanceOf<PlacementDecision.Waiting>()
        testSubject.submit(request("c", 5_000), nowMillis = 1).shouldBeInstanceOf<PlacementDecision.Waiting>()

        testSubject.release(PlacementReport("a", "i-0", PlacementOutcome.SUCCEEDED, slowness = 1.0), nowMillis = 50)

        testSubject.review(nowMillis = 50).map { it.id } shouldBe listOf("b", "c")
    }

    @Test
    fun `a request is refused truthfully once it has waited too long`() {
        val testSubject = scheduler(servers = 0)
        testSubject.submit(request("a", 5_000), nowMillis = 0).shouldBeInstanceOf<PlacementDecision.Waiting>()

        testSubject.review(nowMillis = 999).size shouldBe 0

        val refused = testSubject.review(nowMillis = 1_000).single().shouldBeInstanceOf<PlacementDecision.Refused>()
        refused.kind shouldBe ErrorKind.OVERLOADED
        testSubject.waiting shouldBe 0
    }

    @Test
    fun `a server that failed is passed over for a while`() {
        val testSubject = scheduler(servers = 2)
        val first = placed(testSubject.submit(request("a", 5_000), nowMillis = 0)).first.serverId

        testSubject.release(PlacementReport("a", first, PlacementOutcome.FAILED, slowness = null), nowMillis = 10)

        (placed(testSubject.submit(request("b", 5_000), nowMillis = 20)).first.serverId == first) shouldBe false
    }

    @Test
    fun `a taker's account adds what this daemon did not place and drops what has ended`() {
        val testSubject = scheduler(servers = 1)
        val resident = EngineAllocation("x", "vm-2", "i-0", true, 100, 100, 10.0, 250, placedAtMillis = 0)

        testSubject.reconcile(taker = "vm-2", account = listOf(resident), nowMillis = 10)
        ledger.writers("i-0") shouldBe 1
        testSubject.reconcile(taker = "vm-2", account = emptyList(), nowMillis = 5_000)

        ledger.writers("i-0") shouldBe 0
    }

    @Test
    fun `daemons that place without knowing of one another don't all choose the same engines`() {
        val chosen = (1..20).flatMap { daemon ->
            val alone = scheduler(servers = 60)
            listOf("a", "b").map { request ->
                val unknowing = request("$daemon-$request", 5_000).copy(spread = true)
                placed(alone.submit(unknowing, nowMillis = 0)).first.serverId
            }
        }

        (chosen.groupingBy { it }.eachCount().values.max() <= 4) shouldBe true
    }
}
