package org.bulrushtack.forward.lifecycle

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.testing.CapturedLog
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeObservedDaemon
import org.bulrushtack.forward.testing.field

class LatenessLogsTest : AnnotationSpec() {
    private lateinit var log: CapturedLog

    @BeforeEach
    fun startLog() {
        log = CapturedLog()
    }

    @AfterEach
    fun endLog() {
        log.close()
    }

    // Guards against warnings of a daemon that gets all changes in time, among which those that matter are lost.
    @Test
    fun `a daemon that gets changes in time writes no warning`() {
        val testSubject = FakeObservedDaemon()

        (1L..TICKS).forEach { number ->
            testSubject.run(READ_MILLIS)
            testSubject.hear(number = 2, version = number / READS_PER_VERSION)
            testSubject.merge(version = number / READS_PER_VERSION, source = "vm-2", ageMillis = LINK_MILLIS)
        }

        log.lines.filter { " WARN " in it }.shouldBeEmpty()
    }

    @Test
    fun `a refusal tells the version in force, the age of that knowledge, and where the version came from`() {
        val testSubject = FakeObservedDaemon()
        testSubject.merge(version = 7, source = "front-de-a-1", ageMillis = 10)
        testSubject.run(1_000)
        testSubject.merge(version = 7, source = "front-de-a-1", ageMillis = 20)
        testSubject.run(300)

        testSubject.reject()

        val line = log.line("A request was rejected at admission.")
        line.field("kind") shouldBe "unknown-path"
        line.field("version") shouldBe "7"
        line.field("known_millis") shouldBe "320"
        line.field("applied_millis") shouldBe "1300"
        line.field("source") shouldBe "front-de-a-1"
    }

    @Test
    fun `a version that comes in time is no warning`() {
        val testSubject = FakeObservedDaemon()
        testSubject.merge(version = 1)
        testSubject.run(500)

        testSubject.merge(version = 2)

        val line = log.lines.last()
        line shouldContain " INFO  [knowledge] The configuration was applied."
        line.field("previous") shouldBe "1"
        line.field("age_millis") shouldBe "4"
        line.field("decode_millis") shouldBe "0"
        line.field("apply_millis") shouldBe "0"
    }

    @Test
    fun `a version that comes late is a warning that tells what was missed`() {
        val testSubject = FakeObservedDaemon()
        testSubject.merge(version = 1)
        testSubject.time.advance(2_500)

        testSubject.merge(version = 4, source = "front-de-a-1", ageMillis = 1_400)

        val line = log.lines.last().take(EXCERPT_LENGTH)
        line shouldContain " WARN  [knowledge] The configuration was applied."
        line.field("version") shouldBe "4"
        line.field("source") shouldBe "front-de-a-1"
        line.field("age_millis") shouldBe "1400"
        line.field("unread_millis") shouldBe "1104"
        line.field("skipped") shouldBe "2"
    }

    @Test
    fun `a configuration that nobody confirms is a warning once, and once more when it is confirmed`() {
        val testSubject = FakeObservedDaemon()
        testSubject.merge(version = 1)
        testSubject.daemons.observe(FakeDaemon.info(0), atMillis = 900, direct = true)
        testSubject.failures.recordPoll("status 503")
        testSubject.failures.recordSync("10.0.0.3:7340", "deadline exceeded")

        testSubject.run(3_000)
        testSubject.merge(version = 1, source = "vm-2")
        testSubject.run(500)

        val begin = log.lines.single { "The configuration is not confirmed." in it }
        begin shouldContain " WARN "
        begin.take(EXCERPT_LENGTH).field("known_millis") shouldBe "1104"
        begin.take(EXCERPT_LENGTH).field("reader") shouldBe "vm-0"
        begin.take(EXCERPT_LENGTH).field("unreadable") shouldBe "false"
        begin.take(EXCERPT_LENGTH).field("poll_failed_millis") shouldBe "1100"
        begin.take(EXCERPT_LENGTH).field("sync_failed_millis") shouldBe "1100"
        begin.field("version") shouldBe "1"
        begin.field("poll_reason") shouldBe "status 503"
        begin.field("sync_reason") shouldBe "10.0.0.3:7340: deadline exceeded"
        begin.field("heard_millis") shouldBe "vm-0=200"
        begin.field("leaders") shouldBe "vm-0,vm-1"
        val end = log.line("The configuration is confirmed again.")
        end shouldContain " WARN "
        end.field("unconfirmed_millis") shouldBe "3104"
    }

    @Test
    fun `records that another daemon has for long are a warning once, and once more when they have come`() {
        val testSubject = FakeObservedDaemon()
        testSubject.merge(version = 1)

        repeat(SYNCS) { number ->
            testSubject.hear(number = 2, version = 3L + number)
            testSubject.run(SYNC_MILLIS)
        }
        testSubject.merge(version = 3L + SYNCS, source = "vm-2")
        testSubject.run(SYNC_MILLIS)

        val begin = log.lines.single { "This daemon is behind another one." in it }
        begin shouldContain " WARN "
        begin.take(EXCERPT_LENGTH).field("topic") shouldBe "OPERATOR"
        begin.take(EXCERPT_LENGTH).field("ahead") shouldBe "vm-2"
        begin.take(EXCERPT_LENGTH).field("records") shouldBe "4"
        begin.take(EXCERPT_LENGTH).field("behind_millis") shouldBe "1000"
        begin.field("age_millis") shouldBe "1004"
        begin.field("heard_millis") shouldBe "vm-2=200"
        val end = log.line("This daemon is no longer behind another one.")
        end.field("behind_millis") shouldBe "2100"
    }

    // Guards against a daemon that calls itself behind by offsets which the store has given out again.
    @Test
    fun `a daemon is not behind another one that counts in another era of the store`() {
        val testSubject = FakeObservedDaemon()
        testSubject.merge(version = 1)

        testSubject.hear(number = 2, version = 9, era = 7)
        testSubject.run(1_500)

        log.lines.none { "is behind another one" in it } shouldBe true
    }

    @Test
    fun `a thread that was held up is a warning with the length and the collections of garbage since the last one`() {
        val testSubject = FakeObservedDaemon()
        testSubject.run(200)

        testSubject.freeze(1_700)
        testSubject.run(200)
        testSubject.freeze(900)

        val (first, second) = log.lines.filter { "The network thread was held up." in it }
        first shouldContain " WARN "
        first.field("late_millis") shouldBe "1600"
        first.field("collection_millis") shouldBe "950"
        second.field("late_millis") shouldBe "800"
        second.field("collection_millis") shouldBe "550"
    }

    @Test
    fun `the gauges tell the version in force, its ages, and how far this daemon is behind`() {
        val testSubject = FakeObservedDaemon()
        val metrics = ForwardMetrics()
        testSubject.lateness.registerGauges(metrics)
        testSubject.merge(version = 1)
        testSubject.run(1_500)
        testSubject.merge(version = 3, ageMillis = 50)
        testSubject.hear(number = 2, version = 4)

        testSubject.run(200)

        val values = metrics.scrape().lines().filter { " " in it }.associate {
            it.substringBefore(' ').removePrefix("bulrushtack_forward_") to it.substringAfter(' ').toDoubleOrNull()
        }
        values["configuration_version"] shouldBe 3.0
        values["configuration_age"] shouldBe 250.0
        values["configuration_applied_age"] shouldBe 200.0
        values["configuration_application"] shouldBe 0.0
        values["configuration_late"] shouldBe 1.0
        values["knowledge_behind"] shouldBe 200.0
    }

    // Guards against a record of an incident that fits a late read, a late sync and an old table alike.
    @Test
    fun `an excerpt tells a late read, a late sync and an old table with a fresh replica apart`() {
        val lateRead = excerpt(FakeObservedDaemon()) {
            run(2_500)
            reject()
            merge(version = 2, source = "store")
            run(200)
        }
        val lateSync = excerpt(FakeObservedDaemon()) {
            repeat(SYNCS) {
                hear(number = 2, version = 2)
                run(SYNC_MILLIS)
            }
            reject()
            merge(version = 2, source = "vm-2", ageMillis = 1_900)
            run(200)
        }
        val oldTable = excerpt(FakeObservedDaemon(isReadable = { it < 2 })) {
            repeat(SYNCS) {
                hear(number = 2, version = 2)
                merge(version = 2, source = "vm-2")
                run(SYNC_MILLIS)
            }
            reject()
        }

        facts(lateRead) shouldBe Facts(isKnownLong = true, isBehind = false, appliedAge = "4", appliedFrom = "store")
        facts(lateSync) shouldBe Facts(isKnownLong = true, isBehind = true, appliedAge = "1900", appliedFrom = "vm-2")
        facts(oldTable) shouldBe Facts(isKnownLong = false, isBehind = false, appliedAge = null, appliedFrom = null)
        withClue(oldTable) { oldTable.any { "could not be applied" in it } shouldBe true }
        (lateRead + lateSync + oldTable).forEach { it.length shouldBeLessThanOrEqual EXCERPT_LENGTH }
    }

    private fun excerpt(daemon: FakeObservedDaemon, run: FakeObservedDaemon.() -> Unit): List<String> =
        CapturedLog().use { captured ->
            daemon.merge(version = 1)
            daemon.run()
            captured.excerpt
        }

    private fun facts(excerpt: List<String>): Facts = withClue(excerpt.joinToString("\n")) {
        val refusal = excerpt.single { "rejected" in it }
        val applied = excerpt.singleOrNull { "was applied" in it }
        refusal.field("version") shouldBe "1"
        Facts(
            isKnownLong = refusal.field("known_millis").toLong() > ALLOWED_MILLIS / 2,
            isBehind = excerpt.any { "is behind another one" in it },
            appliedAge = applied?.field("age_millis"),
            appliedFrom = applied?.field("source"),
        )
    }

    private data class Facts(
        val isKnownLong: Boolean,
        val isBehind: Boolean,
        val appliedAge: String?,
        val appliedFrom: String?,
    )

    private companion object {
        const val EXCERPT_LENGTH = 200
        const val ALLOWED_MILLIS = 2_000L
        const val TICKS = 60L
        const val READ_MILLIS = 500L
        const val READS_PER_VERSION = 10
        const val LINK_MILLIS = 400L
        const val SYNCS = 5
        const val SYNC_MILLIS = 400L
    }
}
