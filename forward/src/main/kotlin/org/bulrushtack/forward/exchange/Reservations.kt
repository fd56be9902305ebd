package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.wire.PrefillHelper
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledFuture

/**
 * The memory that one send reserves on several engines: on all of them or none, with leases renewed while the send
 * runs on a live engine: without recent events, that engine is asked before each renewal, as its death would otherwise
 * show only when the send times out. A reservation that this daemon can no longer release expires.
 *
 * @param isProgressing whether the engine that uses the memory has sent an event within the given time
 */
internal class Reservations(
    private val client: ReservationClient,
    private val thread: ForwardThread,
    private val log: EventLog,
    private val plan: ReservationPlan,
    private val isProgressing: (withinMillis: Long) -> Boolean,
) {
    private val leaseMillis = plan.freeMillis * LEASE_PERCENT / PERCENT
    private val renewalIntervalMillis = leaseMillis * RENEWAL_PERCENT / PERCENT
    private val reservedParts = plan.parts.filter { it.reservedTokens > 0 }
    private var renewal: ScheduledFuture<*>? = null
    private var isReleased = false

    /** The helpers as the request to the first engine lists them. */
    val helpers: List<PrefillHelper> get() = plan.parts.map { part ->
        PrefillHelper(
            address = part.address,
            reservationId = if (part.reservedTokens > 0) reservationId(part) else null,
        )
    }

    /** Reserves all memory and reports to [onDone] whether it succeeded. After a failure nothing stays reserved. */
    fun reserve(onDone: (Boolean) -> Unit) {
        if (reservedParts.isEmpty()) {
            onDone(true)
            return
        }
        val results = reservedParts.map { reserve(it) }.reduce { one, other -> one.thenCombine(other, Boolean::and) }
        thread.whenDone(results) { succeeded, _ ->
            val allReserved = succeeded == true
            if (allReserved) scheduleRenewal() else release()
            if (!isReleased || !allReserved) onDone(allReserved)
        }
    }

    /** Releases all reservations, including those whose request got no response, as they may have been made. */
    fun release() {
        if (isReleased) return
        isReleased = true
        renewal?.cancel(false)
        reservedParts.forEach { release(it, attempts = RELEASE_ATTEMPTS) }
    }

    private fun reserve(part: PlacedPart): CompletableFuture<Boolean> =
        client.reserve(part, reservationId(part), leaseMillis).thenApply { response ->
            val status = response.fold(ifLeft = { it.reason }, ifRight = { "$it" })
            val reserved = status == RESERVED
            if (!reserved) {
                log.info(
                    "Memory was not reserved.",
                    LogField("request", plan.sendId),
                    LogField("server", part.serverId),
                    LogField("tokens", part.reservedTokens),
                    LogField("answer", status),
                )
            }
            reserved
        }

    private fun scheduleRenewal() {
        if (isReleased) return
        renewal = thread.schedule(renewalIntervalMillis) {
            renewWhileUsed()
            scheduleRenewal()
        }
    }

    private fun renewWhileUsed() {
        if (isProgressing(renewalIntervalMillis)) {
            reservedParts.forEach { reserve(it) }
        } else {
            thread.whenDone(client.isResponsive(plan.firstAddress)) { responsive, _ ->
                when {
                    isReleased -> Unit
                    responsive == true -> reservedParts.forEach { reserve(it) }
                    else -> logSilence()
                }
            }
        }
    }

    private fun logSilence() = log.warn(
        "The engine that uses reserved memory does not respond; the leases are not renewed.",
        LogField("request", plan.sendId),
        LogField("address", plan.firstAddress),
    )

    private fun release(part: PlacedPart, attempts: Int) {
        thread.whenDone(client.release(part, reservationId(part))) { response, _ ->
            val isConfirmed = response?.isRight() ?: false
            if (!isConfirmed && attempts > 1) {
                release(part, attempts - 1)
            } else if (!isConfirmed) {
                log.warn(
                    "A reservation was not released; it will expire.",
                    LogField("request", plan.sendId),
                    LogField("server", part.serverId),
                )
            }
        }
    }

    private fun reservationId(part: PlacedPart): String = "${plan.sendId}-${part.serverId}"
}

/** The rest of the time within which memory has to be free covers a slow response of the engine that uses it. */
private const val LEASE_PERCENT = 80L

/** Tolerates the loss of two consecutive renewals. */
private const val RENEWAL_PERCENT = 30L
private const val PERCENT = 100L

/** Each attempt waits for its response; after this many failures the reservation has nearly expired. */
private const val RELEASE_ATTEMPTS = 3
private const val RESERVED = "200"
