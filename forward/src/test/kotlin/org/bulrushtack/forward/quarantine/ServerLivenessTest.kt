package org.bulrushtack.forward.quarantine

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.FakeServerChecker
import org.bulrushtack.forward.testing.FakeTime

class ServerLivenessTest : AnnotationSpec() {
    private lateinit var time: FakeTime
    private lateinit var checker: FakeServerChecker
    private lateinit var testSubject: ServerLiveness
    private lateinit var fleet: FleetRegion
    private var isConnected = true
    private val server = ObservedServer(
        lifetime = ServerLifetime("i-1", startedAtMillis = STARTED_AT_MILLIS),
        address = "10.1.0.1:80",
    )

    @BeforeEach
    fun createSubject() {
        time = FakeTime()
        checker = FakeServerChecker(time)
        isConnected = true
        fleet = FleetRegion()
        register(STARTED_AT_MILLIS)
        testSubject = ServerLiveness(
            checker = checker,
            fleet = fleet,
            isConnected = { isConnected },
            thread = time.thread,
            log = EventLogs(time).forComponent("quarantine"),
        )
    }

    private fun register(startedAtMillis: Long, id: String = "i-1") = fleet.put(
        entry = BackendServerEntry(
            id = id,
            service = "engine",
            address = server.address,
            dataCentre = "a",
            slots = 4,
            leaving = false,
            coldMillis = 0,
            startedAtMillis = startedAtMillis,
        ),
        nowMillis = time.nowMillis(),
    )

    /** Asks until the result is known, at most [times] times. */
    private fun find(times: Int = 1): Liveness? {
        var found: Liveness? = null
        repeat(times) {
            testSubject.find(server) { found = it }
            time.advance(FakeServerChecker.CHECK_MILLIS)
        }
        return found
    }

    @Test
    fun `a server at whose address nothing listens has ended`() {
        checker.results[server.address] = ServerCheck.Refused

        find() shouldBe Liveness.ENDED
    }

    @Test
    fun `a server at whose address nothing listens is not used until its entry is written again`() {
        checker.results[server.address] = ServerCheck.Refused

        find()

        fleet.usable("i-1", time.nowMillis()) shouldBe null
        register(STARTED_AT_MILLIS)
        fleet.usable("i-1", time.nowMillis()) shouldNotBe null
    }

    @Test
    fun `a server that leaves two checks unanswered has ended, one that leaves one may not have`() {
        checker.results[server.address] = ServerCheck.Unanswered

        find() shouldBe Liveness.UNKNOWN
        find() shouldBe Liveness.ENDED
    }

    // Guards against a daemon that is cut off and takes all servers for dead.
    @Test
    fun `no server has ended because a daemon that is cut off gets no answer`() {
        isConnected = false
        checker.results[server.address] = ServerCheck.Unanswered

        find(times = 10) shouldBe Liveness.UNKNOWN
    }

    @Test
    fun `a server stays in use although its connections are refused to a daemon that is cut off`() {
        isConnected = false
        checker.results[server.address] = ServerCheck.Refused

        find(times = 10) shouldBe Liveness.UNKNOWN

        fleet.usable("i-1", time.nowMillis()) shouldNotBe null
    }

    // Guards against a slow server that is taken for a dead one.
    @Test
    fun `a server that responds is alive, and so are signs of it on other sends`() {
        find() shouldBe Liveness.ALIVE
        checker.results[server.address] = ServerCheck.Unanswered
        repeat(10) {
            time.advance(FRESH_MILLIS)
            testSubject.recordSign(server.lifetime)

            find() shouldBe Liveness.ALIVE
        }
        checker.asked.size shouldBe 1
    }

    @Test
    fun `a server has ended when another lifetime responds at its address`() {
        checker.results[server.address] = ServerCheck.Responded(startedAtMillis = STARTED_AT_MILLIS + 1)

        find() shouldBe Liveness.ENDED
    }

    @Test
    fun `a server has ended when another lifetime is registered under its id`() {
        register(STARTED_AT_MILLIS + 1)

        find() shouldBe Liveness.ENDED
        checker.asked shouldBe emptyList()
    }

    @Test
    fun `a server has ended when another one is registered at its address`() {
        fleet.markRemoved("i-1", usableUntilMillis = 0)
        register(STARTED_AT_MILLIS + 1, id = "i-2")

        find() shouldBe Liveness.ENDED
    }

    // Guards against a slow server that gets no requests any more.
    @Test
    fun `a server that does not respond may still be used`() {
        checker.results[server.address] = ServerCheck.Unanswered

        find(times = 2) shouldBe Liveness.ENDED

        fleet.usable("i-1", time.nowMillis()) shouldNotBe null
    }

    @Test
    fun `a server whose entry is gone is asked like others`() {
        fleet.markRemoved("i-1", usableUntilMillis = 0)
        find() shouldBe Liveness.ALIVE
        time.advance(FRESH_MILLIS)
        checker.results[server.address] = ServerCheck.Refused

        find() shouldBe Liveness.ENDED
    }

    @Test
    fun `one check serves all sends that wait for the server`() {
        val found = mutableListOf<Liveness>()

        repeat(5) { testSubject.find(server) { found.add(it) } }
        time.advance(FakeServerChecker.CHECK_MILLIS)

        found shouldBe List(5) { Liveness.ALIVE }
        checker.asked.size shouldBe 1
    }

    private companion object {
        const val STARTED_AT_MILLIS = 1_000L
        const val FRESH_MILLIS = 500L
    }
}
