package org.bulrushtack.core.quarantine

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeAtMost
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class PromptQuarantineTest : AnnotationSpec() {
    private lateinit var testSubject: PromptQuarantine
    private var nowMillis = 0L

    @BeforeEach
    fun createQuarantine() {
        testSubject = PromptQuarantine()
        nowMillis = 0L
    }

    private fun crash(server: Int, vararg parts: String) =
        testSubject.recordCrash("i-$server", parts.toSet(), nowMillis)

    private fun isRefused(vararg parts: String) = testSubject.remainingMillis(parts.toSet(), nowMillis) > 0

    @Test
    fun `requests with a part are refused once four servers have crashed under it`() {
        (1..3).forEach { crash(it, "bad") }
        isRefused("bad", "other") shouldBe false

        crash(4, "bad")

        isRefused("bad", "other") shouldBe true
        isRefused("other") shouldBe false
    }

    @Test
    fun `two requests that one crash broke count as one crash`() {
        repeat(5) { crash(1, "bad") }

        isRefused("bad") shouldBe false
    }

    @Test
    fun `parts that were answered are no suspects, before a crash and after it`() {
        testSubject.recordAnswer(setOf("common"), nowMillis)
        (1..4).forEach { crash(it, "common", "late") }
        isRefused("common") shouldBe false

        testSubject.recordAnswer(setOf("late"), nowMillis)

        isRefused("late") shouldBe false
        testSubject.groups shouldBe emptyList()
    }

    @Test
    fun `crashes that one part explains don't count against the parts that came with it`() {
        (1..4).forEach { crash(it, "bad", "subject") }
        (5..8).forEach { crash(it, "bad", "rare") }

        isRefused("subject") shouldBe false
        isRefused("rare") shouldBe false
        isRefused("bad") shouldBe true
    }

    @Test
    fun `while two parts came only together, requests with one of them are still served`() {
        (1..4).forEach { crash(it, "bad", "subject") }

        isRefused("bad", "subject") shouldBe true
        isRefused("subject") shouldBe false
    }

    @Test
    fun `a part gets another try after a while, and after one more crash none for long`() {
        (1..4).forEach { crash(it, "bad") }
        val first = testSubject.remainingMillis(setOf("bad"), nowMillis)
        nowMillis += first
        isRefused("bad") shouldBe false

        crash(5, "bad")

        testSubject.remainingMillis(setOf("bad"), nowMillis) shouldBeGreaterThan first * 10
    }

    @Test
    fun `old crashes are forgotten`() {
        (1..3).forEach { crash(it, "bad") }
        nowMillis += PromptQuarantine.CONFIRMED_MILLIS

        testSubject.expire(nowMillis)

        testSubject.crashedLifetimes shouldBe emptySet()
        crash(4, "bad")
        isRefused("bad") shouldBe false
    }

    /** Requests of one crashing part among sound ones: each request has a subject, which both kinds share. */
    @Test
    fun `a crashing part among sound requests is found within eight crashes, and hardly a sound request is refused`() {
        repeat(DRAWS) { draw ->
            createQuarantine()
            val random = Random(draw)
            var crashes = 0
            var refusedSound = 0
            repeat(REQUESTS) {
                nowMillis += random.nextLong(REQUEST_INTERVAL_MILLIS)
                val parts = setOf("common", "subject-${random.nextInt(SUBJECTS)}")
                when {
                    random.nextInt(BAD_ONE_IN) > 0 ->
                        if (isRefused(*parts.toTypedArray())) refusedSound += 1 else answer(parts)
                    !isRefused(*(parts + "bad").toTypedArray()) -> {
                        crashes += 1
                        crashWithBystanders(crashes, parts + "bad", random)
                    }
                }
            }
            crashes shouldBeAtMost MAXIMUM_CRASHES
            refusedSound shouldBeAtMost REQUESTS / SOUND_REFUSED_ONE_IN
        }
    }

    @Test
    fun `servers that crash by themselves quarantine next to nothing`() {
        repeat(DRAWS) { draw ->
            createQuarantine()
            val random = Random(draw)
            var refused = 0
            repeat(REQUESTS) { number ->
                nowMillis += random.nextLong(REQUEST_INTERVAL_MILLIS)
                val parts = setOf("common", "subject-${random.nextInt(SUBJECTS)}")
                when {
                    isRefused(*parts.toTypedArray()) -> refused += 1
                    random.nextInt(CRASH_ONE_IN) == 0 -> crashWithBystanders(number, parts, random)
                    else -> answer(parts)
                }
            }
            refused shouldBeAtMost REQUESTS / SOUND_REFUSED_ONE_IN
        }
    }

    /** Each prompt waits on one of 18 servers; now and then all six of a data centre go dark under those they have. */
    @Test
    fun `a data centre that goes dark under the prompts it has quarantines next to nothing`() {
        repeat(DRAWS) { draw ->
            createQuarantine()
            val random = Random(draw)
            val waiting = List(SERVERS) { ArrayDeque<Set<String>>() }
            var refused = 0
            repeat(REQUESTS) { number ->
                nowMillis += random.nextLong(REQUEST_INTERVAL_MILLIS)
                val parts = setOf("common", "subject-${random.nextInt(SUBJECTS)}")
                if (isRefused(*parts.toTypedArray())) refused += 1 else waiting[random.nextInt(SERVERS)].add(parts)
                waiting.filter { it.size > WAITING }.forEach { answer(it.removeFirst()) }
                if (number % DARK_ONE_IN == DARK_ONE_IN - 1) {
                    val dark = waiting.drop(random.nextInt(DATA_CENTRES) * DARK_SERVERS).take(DARK_SERVERS)
                    dark.forEachIndexed { server, prompts ->
                        prompts.forEach { testSubject.recordCrash("i-$server:$number", it, nowMillis) }
                        prompts.clear()
                    }
                }
            }
            refused shouldBeAtMost REQUESTS / SOUND_REFUSED_ONE_IN
        }
    }

    private fun answer(parts: Set<String>) {
        testSubject.recordAnswer(parts, nowMillis)
    }

    private fun crashWithBystanders(server: Int, parts: Set<String>, random: Random) {
        testSubject.recordCrash("i-$server", parts, nowMillis)
        repeat(random.nextInt(BYSTANDERS)) {
            testSubject.recordCrash("i-$server", setOf("common", "subject-${random.nextInt(SUBJECTS)}"), nowMillis)
        }
    }

    private companion object {
        const val DRAWS = 50
        const val REQUESTS = 600
        const val SUBJECTS = 40
        const val BAD_ONE_IN = 8
        const val CRASH_ONE_IN = 20
        const val BYSTANDERS = 4
        const val SERVERS = 18
        const val DATA_CENTRES = 3
        const val DARK_SERVERS = SERVERS / DATA_CENTRES
        const val DARK_ONE_IN = 100
        const val WAITING = 2
        const val REQUEST_INTERVAL_MILLIS = 100L
        const val MAXIMUM_CRASHES = 8
        const val SOUND_REFUSED_ONE_IN = 100
    }
}
