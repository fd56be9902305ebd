package org.bulrushtack.forward.testing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.exchange.ReservationClient
import org.bulrushtack.http.HttpFailure
import java.util.concurrent.CompletableFuture

/**
 * Engines that reserve memory until the reservation is released or expires. A request takes [delayMillis] to arrive,
 * and so does its response; [isLost] tells which requests never arrive, and [isFull] which engines refuse.
 */
internal class FakeEngineMemory(
    private val time: FakeTime,
    private val delayMillis: Long = 2,
    private val isLost: (reservationId: String, nowMillis: Long) -> Boolean = { _, _ -> false },
    private val isFull: (serverId: String) -> Boolean = { false },
) : ReservationClient {
    private val expiresAtMillis = HashMap<String, Long>()

    /** Whether the daemon's requests leave its VM. */
    var connected = true

    /** Whether the engine that uses the memory responds. */
    var responsive = true

    /** The number of reservations that are in force. */
    val reservationCount: Int get() = expiresAtMillis.values.count { it > time.nowMillis() }

    override fun reserve(part: PlacedPart, reservationId: String, leaseMillis: Long) = request(reservationId) {
        if (isFull(part.serverId)) {
            CONFLICT
        } else {
            expiresAtMillis[reservationId] = time.nowMillis() + leaseMillis
            OK
        }
    }

    override fun isResponsive(address: String): CompletableFuture<Boolean> {
        val response = CompletableFuture<Boolean>()
        val responds = responsive
        time.thread.schedule(if (responds) 2 * delayMillis else TIMEOUT_MILLIS) { response.complete(responds) }
        return response
    }

    override fun release(part: PlacedPart, reservationId: String) = request(reservationId) {
        expiresAtMillis.remove(reservationId)
        OK
    }

    private fun request(reservationId: String, handle: () -> Int): CompletableFuture<Either<HttpFailure, Int>> {
        val response = CompletableFuture<Either<HttpFailure, Int>>()
        val lost = !connected || isLost(reservationId, time.nowMillis())
        if (lost) {
            val failure = HttpFailure(sent = true, reason = "timeout")
            time.thread.schedule(TIMEOUT_MILLIS) { response.complete(failure.left()) }
        } else {
            time.thread.schedule(delayMillis) {
                val status = handle()
                time.thread.schedule(delayMillis) { response.complete(status.right()) }
            }
        }
        return response
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val TIMEOUT_MILLIS = 500L
    }
}
