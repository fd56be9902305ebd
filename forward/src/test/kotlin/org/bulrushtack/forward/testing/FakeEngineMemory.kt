package org.bulrushtack.forward.testing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.exchange.ReservationClient
import org.bulrushtack.http.HttpFailure
import java.util.concurrent.CompletableFuture

/**
 * Engines that keep memory until its reservation is ended or runs out. Each order takes [delayMillis] there and as long
 * back; [isLost] says which orders never arrive, and [isFull] which engines refuse.
 */
internal class FakeEngineMemory(
    private val time: FakeTime,
    private val delayMillis: Long = 2,
    private val isLost: (reservationId: String, nowMillis: Long) -> Boolean = { _, _ -> false },
    private val isFull: (serverId: String) -> Boolean = { false },
) : ReservationClient {
    private val untilMillis = HashMap<String, Long>()

    /** Whether the daemon's orders leave its VM. */
    var connected = true

    /** How many reservations there are now. */
    val reserved: Int get() = untilMillis.values.count { it > time.nowMillis() }

    override fun reserve(part: PlacedPart, reservationId: String, leaseMillis: Long) = order(reservationId) {
        if (isFull(part.serverId)) {
            REFUSED
        } else {
            untilMillis[reservationId] = time.nowMillis() + leaseMillis
            DONE
        }
    }

    override fun release(part: PlacedPart, reservationId: String) = order(reservationId) {
        untilMillis.remove(reservationId)
        DONE
    }

    private fun order(reservationId: String, act: () -> Int): CompletableFuture<Either<HttpFailure, Int>> {
        val answer = CompletableFuture<Either<HttpFailure, Int>>()
        val lost = !connected || isLost(reservationId, time.nowMillis())
        if (lost) {
            time.thread.schedule(TIMEOUT_MILLIS) { answer.complete(HttpFailure(sent = true, reason = "silent").left()) }
        } else {
            time.thread.schedule(delayMillis) {
                val status = act()
                time.thread.schedule(delayMillis) { answer.complete(status.right()) }
            }
        }
        return answer
    }

    private companion object {
        const val DONE = 200
        const val REFUSED = 409
        const val TIMEOUT_MILLIS = 500L
    }
}
