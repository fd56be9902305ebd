package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.core.quarantine.PromptQuarantine
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.quarantine.CrashRecordWriter
import org.bulrushtack.forward.quarantine.CrashReports
import org.bulrushtack.forward.quarantine.ObservedServer
import org.bulrushtack.forward.quarantine.ServerCheck
import org.bulrushtack.forward.quarantine.ServerLiveness
import org.bulrushtack.forward.testing.FakeRecordStore
import org.bulrushtack.forward.testing.FakeServerChecker
import org.bulrushtack.forward.testing.FakeTime

/** Sends prompts with one shared part to servers that fall silent, each to another server. */
class CrashObserverTest : AnnotationSpec() {
    private lateinit var time: FakeTime
    private lateinit var checker: FakeServerChecker
    private lateinit var reports: CrashReports
    private lateinit var liveness: ServerLiveness
    private var sends = 0

    @BeforeEach
    fun createReports() {
        time = FakeTime()
        checker = FakeServerChecker(time)
        sends = 0
        val log = EventLogs(time).forComponent("quarantine")
        reports = CrashReports(
            quarantine = PromptQuarantine(),
            writer = CrashRecordWriter(store = FakeRecordStore(), thread = time.thread, log = log),
            writerId = "vm-1",
            announcementDelayMillis = { 0 },
            thread = time.thread,
            log = log,
        )
        liveness = ServerLiveness(
            checker = checker,
            fleet = FleetRegion(),
            isConnected = { true },
            thread = time.thread,
            log = log,
        )
    }

    private fun send(check: ServerCheck): CrashObserver {
        sends += 1
        val server = ObservedServer(ServerLifetime("i-$sends", startedAtMillis = 1), address = "10.1.0.$sends:80")
        checker.results[server.address] = check
        return CrashObserver(reports = reports, liveness = liveness, thread = time.thread, parts = setOf(PART))
            .also { it.onSent(server, helpers = emptyList(), silenceMillis = SILENCE_MILLIS) }
    }

    private fun isRefused() = reports.quarantineMillis(setOf(PART)) > 0

    private fun result(outcome: SendOutcome) = SendResult(outcome, reason = "test", serverId = "i-$sends")

    // Guards against a part under which one server after the other goes dark, which closes no connection.
    @Test
    fun `servers that go dark under a part are found while their sends still wait`() {
        repeat(CRASHES) { send(ServerCheck.Unanswered) }

        time.advance(SILENCE_MILLIS + FOUND_MILLIS)

        isRefused() shouldBe true
    }

    @Test
    fun `servers that went dark are found after their sends were given up`() {
        repeat(CRASHES) {
            val testSubject = send(ServerCheck.Unanswered)
            time.advance(SILENCE_MILLIS)
            testSubject.onGivenUp()
            testSubject.onFinished(result(SendOutcome.UNKNOWN))
        }

        time.advance(FOUND_MILLIS)

        isRefused() shouldBe true
    }

    @Test
    fun `servers that went dark are found after the callers have left`() {
        repeat(CRASHES) {
            val testSubject = send(ServerCheck.Refused)
            time.advance(SILENCE_MILLIS)
            testSubject.onCancelled()
        }

        time.advance(FOUND_MILLIS)

        isRefused() shouldBe true
    }

    @Test
    fun `a server that goes dark while it is slow is found`() {
        repeat(CRASHES) { send(ServerCheck.Responded(startedAtMillis = 1)) }
        time.advance(10 * SILENCE_MILLIS)
        isRefused() shouldBe false

        checker.results.replaceAll { _, _ -> ServerCheck.Refused }
        time.advance(FOUND_MILLIS)

        isRefused() shouldBe true
    }

    // Guards against sound parts that are refused since servers are slow with them.
    @Test
    fun `servers that are slow are no dead ones`() {
        repeat(CRASHES) { send(ServerCheck.Responded(startedAtMillis = 1)) }

        time.advance(LONG_MILLIS)

        isRefused() shouldBe false
    }

    @Test
    fun `no server is asked about a send that ends before it counts as silent`() {
        send(ServerCheck.Refused).onCancelled()
        send(ServerCheck.Refused).onFinished(result(SendOutcome.NOT_RUN))
        send(ServerCheck.Refused).onFinished(result(SendOutcome.UNKNOWN))
        send(ServerCheck.Refused).apply { repeat(2) { onEventRelayed() } }

        time.advance(LONG_MILLIS)

        checker.asked shouldBe emptyList()
    }

    @Test
    fun `a silent server is asked about twice a second, and no more once the send has ended`() {
        val testSubject = send(ServerCheck.Responded(startedAtMillis = 1))
        time.advance(LONG_MILLIS)
        val asked = checker.asked.size

        testSubject.onCancelled()
        time.advance(LONG_MILLIS)

        (asked <= LONG_MILLIS / 500) shouldBe true
        (checker.asked.size <= asked + 1) shouldBe true
    }

    private companion object {
        const val PART = "bad"
        const val CRASHES = 4
        const val SILENCE_MILLIS = 600L

        /** Two checks, and the time until a server that responds is asked again. */
        const val FOUND_MILLIS = 700L
        const val LONG_MILLIS = 10_000L
    }
}
