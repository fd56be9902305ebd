package org.bulrushtack.forward.quarantine

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeAtMost
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.core.quarantine.PromptQuarantine
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.FakeRecordStore
import org.bulrushtack.forward.testing.FakeTime
import kotlin.random.Random

/** Runs the reports of several daemons, each of which gets the store's records with its own lag. */
class CrashReportsTest : AnnotationSpec() {
    private lateinit var time: FakeTime
    private lateinit var store: FakeRecordStore
    private lateinit var daemons: List<Daemon>

    private inner class Daemon(
        name: String,
        private val lagMillis: Long,
    ) {
        private val log = EventLogs(time).forComponent("quarantine")
        private var appliedRecords = 0
        val reports = CrashReports(
            quarantine = PromptQuarantine(),
            writer = CrashRecordWriter(store = store, thread = time.thread, log = log),
            writerId = name,
            announcementDelayMillis = { 0 },
            thread = time.thread,
            log = log,
        )

        fun isRefused(vararg parts: String) = reports.quarantineMillis(parts.toSet()) > 0

        /** Applies the records that the store has had for longer than the lag. */
        fun follow(recordsAtMillis: List<Long>) {
            val known = recordsAtMillis.count { it + lagMillis <= time.nowMillis() }
            store.records.subList(appliedRecords, maxOf(appliedRecords, known)).forEach { reports.apply(it) }
            appliedRecords = maxOf(appliedRecords, known)
        }
    }

    private val recordsAtMillis = mutableListOf<Long>()

    @BeforeEach
    fun startDaemons() {
        time = FakeTime()
        store = FakeRecordStore()
        recordsAtMillis.clear()
        daemons = (1..DAEMONS).map { Daemon(name = "vm-$it", lagMillis = LAG_MILLIS * it / DAEMONS) }
    }

    private fun lifetime(serverId: String, startedAtMillis: Long = 1) = ServerLifetime(serverId, startedAtMillis)

    private fun advance(millis: Long) = repeat(millis.toInt()) {
        time.advance(1)
        while (recordsAtMillis.size < store.records.size) recordsAtMillis.add(time.nowMillis())
        daemons.forEach { it.follow(recordsAtMillis) }
    }

    @Test
    fun `all daemons refuse a part soon after the fifth crash, and serve the parts that came with it`() {
        repeat(DRAWS) { draw ->
            startDaemons()
            val random = Random(draw)
            var crashes = 0
            var lateSends = 0
            var fifthAtMillis = Long.MAX_VALUE / 2
            repeat(REQUESTS) { number ->
                advance(random.nextLong(REQUEST_INTERVAL_MILLIS))
                val daemon = daemons[random.nextInt(DAEMONS)]
                val subject = "subject-${random.nextInt(SUBJECTS)}"
                if (random.nextBoolean()) {
                    daemon.isRefused("common", subject) shouldBe false
                    daemon.reports.onAnswer(setOf("common", subject))
                } else if (!daemon.isRefused("common", subject, "bad")) {
                    crashes += 1
                    if (crashes == CRASHES_BEFORE_LIMIT) fifthAtMillis = time.nowMillis()
                    if (time.nowMillis() > fifthAtMillis + LIMIT_MILLIS) lateSends += 1
                    daemon.reports.onCrash(lifetime("i-$number"), setOf("common", subject, "bad"))
                }
            }
            lateSends shouldBeAtMost LATE_SENDS_ALLOWED
            daemons.all { it.isRefused("bad") } shouldBe true
        }
    }

    @Test
    fun `reports reach the other daemons once the store is back`() {
        store.isDown = true
        (1..5).forEach { daemons.first().reports.onCrash(lifetime("i-$it"), setOf("bad")) }
        advance(OUTAGE_MILLIS)
        daemons.first().isRefused("bad") shouldBe true
        daemons.last().isRefused("bad") shouldBe false

        store.isDown = false
        advance(LIMIT_MILLIS)

        daemons.all { it.isRefused("bad") } shouldBe true
    }

    // Guards against daemons that send a part which crashes servers, since the store lost the reports of it.
    @Test
    fun `reports that the store lost are written again`() {
        (1..5).forEach { daemons.first().reports.onCrash(lifetime("i-$it"), setOf("bad")) }
        advance(LIMIT_MILLIS)
        val lostCount = store.records.size
        val started = Daemon(name = "vm-new", lagMillis = 0)

        daemons.first().reports.writeAgain()
        advance(LIMIT_MILLIS)
        store.records.drop(lostCount).forEach { started.reports.apply(it) }

        started.isRefused("bad") shouldBe true
    }

    @Test
    fun `what a daemon without answers yet suspects is cleared by one that has seen them`() {
        daemons.first().reports.onAnswer(setOf("common"))
        (1..5).forEach { daemons.last().reports.onCrash(lifetime("i-$it"), setOf("common")) }
        daemons.last().isRefused("common") shouldBe true

        advance(LIMIT_MILLIS)

        daemons.any { it.isRefused("common") } shouldBe false
    }

    @Test
    fun `an answer clears a part at all daemons`() {
        (1..5).forEach { daemons.first().reports.onCrash(lifetime("i-$it"), setOf("sound")) }
        advance(LIMIT_MILLIS)
        daemons.all { it.isRefused("sound") } shouldBe true

        daemons[1].reports.onAnswer(setOf("sound"))
        advance(LIMIT_MILLIS)

        daemons.any { it.isRefused("sound") } shouldBe false
    }

    @Test
    fun `a process that starts again knows what its last one has reported`() {
        (1..5).forEach { daemons.first().reports.onCrash(lifetime("i-$it"), setOf("bad")) }
        advance(LIMIT_MILLIS)

        val restarted = Daemon(name = "vm-1-again", lagMillis = 0)
        restarted.follow(recordsAtMillis)

        restarted.isRefused("bad") shouldBe true
    }

    @Test
    fun `old records are deleted by the daemon that reads the store for all`() {
        daemons.first().reports.onCrash(lifetime("i-1"), setOf("bad"))
        advance(LIMIT_MILLIS)
        time.advance(PromptQuarantine.CONFIRMED_MILLIS)

        daemons.forEachIndexed { index, daemon -> daemon.reports.tick(isReader = index == 1) }
        advance(LIMIT_MILLIS)

        store.records.map { it.value == null } shouldBe listOf(false, true)
    }

    // Guards against a part that is never found, as few servers come back under their ids and count as one crash each.
    @Test
    fun `servers that come back under the ids that they had count once for each start`() {
        (1L..4L).forEach { daemons.first().reports.onCrash(lifetime("i-1", startedAtMillis = it), setOf("bad")) }
        advance(LIMIT_MILLIS)

        daemons.all { it.isRefused("bad") } shouldBe true
    }

    // Guards against a record that the store can't take, after which no crash was reported any more.
    @Test
    fun `crashes of servers with long ids are reported like others`() {
        val ids = (1..5).map { "i-$it".padEnd(MAXIMUM_KEY_BYTES, 'x') }

        ids.forEach { daemons.first().reports.onCrash(lifetime(it), setOf("bad")) }
        advance(LIMIT_MILLIS)

        daemons.all { it.isRefused("bad") } shouldBe true
    }

    @Test
    fun `a crash that several daemons report counts once, however long the id of its server`() {
        val id = "i-1".padEnd(MAXIMUM_KEY_BYTES, 'x')

        daemons.forEach { it.reports.onCrash(lifetime(id), setOf("sound")) }
        advance(LIMIT_MILLIS)

        daemons.any { it.isRefused("sound") } shouldBe false
    }

    @Test
    fun `a record that can't be written doesn't hold up the others`() {
        store.refusedKey = "crash/i-1:1/vm-1"

        (1..6).forEach { daemons.first().reports.onCrash(lifetime("i-$it"), setOf("bad")) }
        advance(LIMIT_MILLIS)

        daemons.all { it.isRefused("bad") } shouldBe true
    }

    @Test
    fun `records of no known kind change nothing`() {
        listOf("crash/", "answer/", "crash/i-1", "other/x", "").forEach { key ->
            repeat(5) { number ->
                store.put(StoreTopic.CRASHES, key + number, byteArrayOf(-1, 10, 0))
            }
        }

        advance(LIMIT_MILLIS)

        daemons.any { it.isRefused("bad") } shouldBe false
    }

    private companion object {
        const val DAEMONS = 6
        const val MAXIMUM_KEY_BYTES = 255
        const val DRAWS = 50
        const val REQUESTS = 100
        const val SUBJECTS = 10
        const val REQUEST_INTERVAL_MILLIS = 400L
        const val OUTAGE_MILLIS = 5_000L

        /** A read of the store each second, and a sync. */
        const val LAG_MILLIS = 1_500L
        const val CRASHES_BEFORE_LIMIT = 5
        const val LIMIT_MILLIS = 3_000L
        const val LATE_SENDS_ALLOWED = 3
    }
}
