package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.FakeEngineMemory
import org.bulrushtack.forward.testing.FakeTime
import kotlin.random.Random

/**
 * Guards against memory that stays reserved, or is not reserved, for prompts beyond one engine's memory while
 * reservation requests are lost and daemons are killed.
 */
class ReservationsTest : AnnotationSpec() {
    private val time = FakeTime()
    private val parts = listOf("i-1", "i-2", "i-3").map { PlacedPart(it, "$it:80", reservedTokens = 1_000) }

    private fun reservations(engines: FakeEngineMemory, freeMillis: Long = FREE_MILLIS) = Reservations(
        client = engines,
        thread = time.thread,
        log = EventLogs(time).forComponent("front"),
        plan = ReservationPlan(
            sendId = "request-1-0",
            firstAddress = "i-0:80",
            parts = parts,
            freeMillis = freeMillis,
        ),
        isProgressing = { false },
    )

    private fun millisUntilFree(engines: FakeEngineMemory): Long {
        val lastUseMillis = time.nowMillis()
        while (engines.reservationCount > 0 && time.nowMillis() < lastUseMillis + 10 * FREE_MILLIS) time.advance(1)
        return time.nowMillis() - lastUseMillis
    }

    @Test
    fun `memory is reserved on all engines, kept while the request runs and free after its release`() {
        val engines = FakeEngineMemory(time)
        val testSubject = reservations(engines)
        var reserved: Boolean? = null

        testSubject.reserve { reserved = it }
        time.advance(10)
        reserved shouldBe true
        repeat(30) {
            time.advance(1_000)
            engines.reservationCount shouldBe parts.size
        }
        testSubject.release()

        millisUntilFree(engines) shouldBeLessThanOrEqual 10L
    }

    @Test
    fun `if one engine refuses, nothing stays reserved on the others`() {
        val engines = FakeEngineMemory(time, isFull = { it == "i-2" })
        var reserved: Boolean? = null

        reservations(engines).reserve { reserved = it }
        time.advance(20)

        reserved shouldBe false
        engines.reservationCount shouldBe 0
    }

    @Test
    fun `memory reserved by a daemon that is killed is free within the configured time, for several such times`() {
        listOf(FREE_MILLIS, 1_500L, 9_000L).forEach { freeMillis ->
            val random = Random(freeMillis)
            repeat(SEEDS) {
                val engines = FakeEngineMemory(time)
                reservations(engines, freeMillis).reserve { }
                time.advance(10 + random.nextLong(2 * freeMillis))
                val lastUseMillis = time.nowMillis()

                engines.connected = false
                time.advance(freeMillis)

                engines.reservationCount shouldBe 0
                time.nowMillis() - lastUseMillis shouldBeLessThanOrEqual freeMillis
            }
        }
    }

    @Test
    fun `memory is free in time after the engine that uses it has fallen silent without closing the connection`() {
        repeat(SEEDS) { seed ->
            val engines = FakeEngineMemory(time)
            reservations(engines).reserve { }
            time.advance(10 + Random(seed).nextLong(2 * FREE_MILLIS))

            engines.responsive = false

            millisUntilFree(engines) shouldBeLessThanOrEqual FREE_MILLIS
        }
    }

    @Test
    fun `memory is free in time after the release, even if some requests are lost`() {
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

            millisUntilFree(engines) shouldBeLessThanOrEqual FREE_MILLIS
        }
    }

    private companion object {
        /** The users' `free_ms`. */
        const val FREE_MILLIS = 4_000L
        const val SEEDS = 20
        const val LOST_SHARE = 0.3
    }
}
