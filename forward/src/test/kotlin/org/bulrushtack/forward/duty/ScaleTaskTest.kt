package org.bulrushtack.forward.duty

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.route.CallerLimits
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.route.ScaleLimits
import org.bulrushtack.core.route.ServiceProfile
import org.bulrushtack.forward.DutySettings
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeDutyCodec
import org.bulrushtack.forward.testing.FakeDutySession
import org.bulrushtack.forward.testing.FakeTime
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.protocol.LoadReport
import org.bulrushtack.protocol.ServiceDemand
import kotlin.random.Random

class ScaleTaskTest : AnnotationSpec() {
    override fun isolationMode() = IsolationMode.InstancePerTest

    private val time = FakeTime()
    private val engine = EngineProfile(11, 315_000, 51, 0.85, 0.00618, 0.00285, 177.0, 0.184, 2_048, 0.05, 1_622)
    private val state = FakeDaemon.state(DaemonTable(info("vm-1", "a"))).also {
        it.routing = routing(ScaleLimits(minimum = 1, maximum = 20, bootMillis = 8_000))
    }
    private var listAgeMillis = 0L
    private val metrics = ForwardMetrics()
    private val session = FakeDutySession(token = 5, heldSinceMillis = 0)
    private val duty = checkNotNull(create(settings(setOf("scale"))))
    private var shape = PromptShape(promptTokens = 5_000, answerTokens = 1_600, maximumAnswerTokens = 1_600)

    private fun info(name: String, dataCentre: String) =
        DaemonInfo(name, "life", dataCentre, "$name:7340", "$name:80", 1, ready = true, leaving = false)

    private fun routing(limits: ScaleLimits?): RoutingTable {
        val services = listOf(ServiceProfile("guide", "/", 300, coldPerSecond = 0.0, engine = engine, scale = limits))
        return RoutingTable(RoutingConfiguration(1, emptyList(), services, CallerLimits(), workspaces = null))
    }

    private fun settings(names: Set<String>) = DutySettings(
        address = checkNotNull(HostAndPort.parse("127.0.0.1:9")),
        names = names,
        isFenced = true,
        leaseMillis = 3_000,
        windowMillis = 5_000,
        lateMillis = 10_000,
        callsPerSecond = 20.0,
    )

    private fun create(settings: DutySettings?) = ScalingDuty.create(
        settings = settings,
        codec = FakeDutyCodec,
        state = state,
        serversAgeMillis = { listAgeMillis },
        random = Random(1),
        metrics = metrics,
        log = EventLogs(time).forComponent("scaling"),
    )

    private fun addServers(dataCentre: String, count: Int) = repeat(count) { number ->
        val id = "$dataCentre-$number"
        state.fleet.put(BackendServerEntry(id, "guide", "10.0.0.1:80", dataCentre, 11, false, 0, 0), time.nowMillis())
    }

    /** Runs the task for [millis] under [perSecond] requests, with the reports of this daemon. */
    private fun run(millis: Long, perSecond: Int = 20) = repeat((millis / TICK_MILLIS).toInt()) { number ->
        time.advance(TICK_MILLIS)
        if (number % TICKS_PER_REPORT == 0) {
            repeat(perSecond / 2) { duty.contribution.recordArrival("guide", shape, tokenGapMillis = 250) }
            val report = LoadReport.newBuilder().setDaemon("vm-1").setIncarnation("life")
            duty.contribution.addTo(report)
            duty.contribution.receive(report.build(), time.nowMillis())
        }
        duty.task.tick(session, time.nowMillis())
    }

    private fun receive(daemon: String, millis: Double) {
        val demand = ServiceDemand.newBuilder().setService("guide").setShortMillis(millis)
        val report = LoadReport.newBuilder().setDaemon(daemon).setIncarnation("life").addDemands(demand)
        duty.contribution.receive(report.build(), time.nowMillis())
    }

    private fun lastOrder(dataCentre: String): Int =
        session.calls.last { it.startsWith("guide $dataCentre ") }.substringAfterLast(' ').toInt()

    @Test
    fun `servers that the load does not need are ordered away in each data centre`() {
        listOf("a", "b", "c").forEach { addServers(it, count = 18) }

        run(millis = 30_000)

        listOf("a", "b", "c").forEach { lastOrder(it) shouldBeLessThan 5 }
        metrics.scrape() shouldContain """bulrushtack_forward_scale_ready{data_centre="a",service="guide"} 18"""
    }

    // Guards against orders of a new holder that has not heard how much arrives.
    @Test
    fun `no order is sent in the first seconds of a hold`() {
        addServers("a", count = 1)

        run(millis = 2_900)
        session.calls.shouldBeEmpty()
        run(millis = 200)

        session.calls shouldHaveSize 1
    }

    // Guards against a load that looks lower because the daemons with most of it sent their first reports late.
    @Test
    fun `the load is known in full although a daemon's first report comes a second after the hold`() {
        addServers("a", count = 4)
        val enginesBusy = 20

        repeat(36) {
            time.advance(TICK_MILLIS)
            state.daemons.observe(info("vm-2", "a"), time.nowMillis(), direct = true)
            val isDue = it % TICKS_PER_REPORT == 0
            if (isDue) receive("vm-1", millis = 0.0)
            if (isDue && time.nowMillis() >= 1_000) receive("vm-2", millis = enginesBusy * time.nowMillis().toDouble())
            duty.task.tick(session, time.nowMillis())
        }

        lastOrder("a") shouldBeGreaterThanOrEqual enginesBusy
    }

    // Guards against servers that are ordered away because the daemons that need them could not report.
    @Test
    fun `no order is sent while fewer than two thirds of the live daemons report`() {
        addServers("a", count = 18)

        repeat(40) {
            state.daemons.observe(info("vm-2", "a"), time.nowMillis(), direct = true)
            run(millis = 500)
        }

        session.calls.shouldBeEmpty()
    }

    @Test
    fun `no order is sent while the list of servers is old`() {
        addServers("a", count = 1)
        listAgeMillis = 3_001

        run(millis = 10_000)
        session.calls.shouldBeEmpty()
        listAgeMillis = 3_000
        run(millis = 1_000)

        session.calls.shouldNotBeEmpty()
    }

    // Guards against an order that the platform raises to the minimum, which made 78 of 54 servers.
    @Test
    fun `no order is sent where fewer servers than the minimum are there and enough for the load`() {
        state.routing = routing(ScaleLimits(minimum = 26, maximum = 60, bootMillis = 8_000))
        listOf("a", "b", "c").forEach { addServers(it, count = 18) }

        run(millis = 30_000)

        session.calls.shouldBeEmpty()
    }

    // Guards against servers that are ordered away where a data centre is out of service for a time.
    @Test
    fun `a data centre that is out of service or without live daemons keeps its number`() {
        listOf("a", "b", "c").forEach { addServers(it, count = 6) }
        state.fleet.setTakenOut("b", out = true)
        state.daemons.observe(info("vm-3", "c"), time.nowMillis(), direct = true)
        duty.task.tick(session, time.nowMillis())
        state.daemons.expire(nowMillis = 60_000)

        run(millis = 15_000)

        session.calls.map { it.split(' ')[1] }.toSet() shouldBe setOf("a")
    }

    // Guards against two orders at the same time, of which the older may be carried out last.
    @Test
    fun `one order is on its way at a time, and a new hold does not wait for the orders of the last one`() {
        listOf("a", "b").forEach { addServers(it, count = 6) }
        session.result = { null }

        run(millis = 10_000)
        session.calls shouldHaveSize 1
        duty.task.onHoldLost()
        session.result = { DutyCallResult.ACCEPTED }
        run(millis = 5_000)

        session.calls.map { it.split(' ')[1] }.toSet() shouldBe setOf("a", "b")
    }

    // Guards against a platform that gets an order a second for as long as it refuses them.
    @Test
    fun `orders that are refused are sent less often`() {
        addServers("a", count = 6)
        session.result = { DutyCallResult.RATE_LIMITED }

        run(millis = 30_000)

        session.calls.size shouldBeLessThan 11
    }

    // Guards against orders for what waits at a daemon long after it was placed or given up.
    @Test
    fun `what waits for a placement is reported until the placement is decided`() {
        val request = PlacementRequest("p-0", "vm-1", "guide", "a", shape, 250, 1, 0, 300, 1_000)
        duty.contribution.startWaiting(request)
        val waiting = LoadReport.newBuilder().also { duty.contribution.addTo(it) }.getDemands(0).waitingMillis
        duty.contribution.stopWaiting("p-0")
        val placed = LoadReport.newBuilder().also { duty.contribution.addTo(it) }.getDemands(0).waitingMillis

        (waiting > 0) shouldBe true
        placed shouldBe 0.0
    }

    @Test
    fun `a service without servers gets no order`() {
        run(millis = 10_000)

        session.calls.shouldBeEmpty()
    }

    // Guards against calls in deployments that do not ask for orders.
    @Test
    fun `nothing runs without duties, without this duty, or without limits`() {
        create(settings = null) shouldBe null
        create(settings(setOf("usage"))) shouldBe null
        addServers("a", count = 18)
        state.routing = routing(limits = null)

        run(millis = 10_000)

        session.calls.shouldBeEmpty()
        LoadReport.newBuilder().also { duty.contribution.addTo(it) }.demandsCount shouldBe 0
        metrics.scrape() shouldNotContain "scale"
    }

    private companion object {
        const val TICK_MILLIS = 100L
        const val TICKS_PER_REPORT = 5
    }
}
