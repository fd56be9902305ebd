package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.FakeEngineMemory
import org.bulrushtack.forward.testing.FakeTime
import kotlin.random.Random

/** The pattern: prompts beyond one engine's memory, while orders are lost and daemons die. */
class ReservationsTest : AnnotationSpec() {
    private val time = FakeTime()
    private val parts = listOf("i-1", "i-2", "i-3").map { PlacedPart(it, "$it:80", reservedTokens = 1_000) }

    private fun reservations(engines: FakeEngineMemory, freeMillis: Long = FREE_MILLIS) = Reservations(
        client = engines,
        thread = time.thread,
        log = EventLogs(time).forComponent("front"),
        name = "request-1-0",
        parts = parts,
        freeMillis = freeMillis,
    )

    private fun freeAfter(engines: FakeEngineMemory): Long {
        val lastUse = time.nowMillis()
        while (engines.reserved > 0 && time.nowMillis() < lastUse + 10 * FREE_MILLIS) time.advance(1)
        return time.nowMillis() - lastUse
    }

    @Test
    fun `memory is reserved everywhere, kept while the request runs and free once it has ended`() {
        val engines = FakeEngineMemory(time)
        val testSubject = reservations(engines)
        var reserved: Boolean? = null

        testSubject.reserve { reserved = it }
        time.advance(10)
        reserved shouldBe true
        repeat(30) {
            time.advance(1_000)
            engines.reserved shouldBe parts.size
        }
        testSubject.release()

        freeAfter(engines) shouldBeLessThanOrEqual 10L
    }

    @Test
    fun `where one engine refuses nothing stays reserved at the others`() {
        val engines = FakeEngineMemory(time, isFull = { it == "i-2" })
        var reserved: Boolean? = null

        reservations(engines).reserve { reserved = it }
        time.advance(20)

        reserved shouldBe false
        engines.reserved shouldBe 0
    }

    @Test
    fun `memory of a daemon that dies is free within the time that the settings allow, whatever that is`() {
        listOf(FREE_MILLIS, 1_500L, 9_000L).forEach { freeMillis ->
            val random = Random(freeMillis)
            repeat(SEEDS) {
                val engines = FakeEngineMemory(time)
                reservations(engines, freeMillis).reserve { }
                time.advance(10 + random.nextLong(2 * freeMillis))
                val lastUse = time.nowMillis()

                engines.connected = false
                time.advance(freeMillis)

                engines.reserved shouldBe 0
                time.nowMillis() - lastUse shouldBeLessThanOrEqual freeMillis
            }
        }
    }

    @Test
    fun `memory stays reserved while single orders are lost, and is free in time after the end`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val engines = FakeEngineMemory(time, isLost = { _, _ -> random.nextDouble() < LOST_SHARE })
            val testSubject = reservations(engines)
            var reserved = false
            while (!reserved) {
                testSubject.reserve { reserved = it }
                time.advance(600)
                if (!reserved) break
            }
            time.advance(random.nextLong(3_000))
            testSubject.release()

            freeAfter(engines) shouldBeLessThanOrEqual FREE_MILLIS
        }
    }

    private companion object {
        /** The users' `free_ms`. */
        const val FREE_MILLIS = 4_000L
        const val SEEDS = 20
        const val LOST_SHARE = 0.3
    }
}
