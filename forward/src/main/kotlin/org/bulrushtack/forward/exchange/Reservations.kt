package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.wire.PrefillHelper
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledFuture

/**
 * The memory that one send has reserved on several engines: all of it or none, renewed while the send runs. A
 * reservation that this daemon can no longer end runs out by itself.
 *
 * @param name tells this send apart from others, also from those of other daemons
 * @param parts the engines that read parts of the prompt
 * @param freeMillis the longest time that memory may stay reserved after its last use
 */
internal class Reservations(
    private val client: ReservationClient,
    private val thread: ForwardThread,
    private val log: EventLog,
    private val name: String,
    private val parts: List<PlacedPart>,
    freeMillis: Long,
) {
    private val leaseMillis = freeMillis * HOLD_PERCENT / PERCENT
    private val renewalMillis = leaseMillis * RENEWAL_PERCENT / PERCENT
    private val held = parts.filter { it.reservedTokens > 0 }
    private var renewal: ScheduledFuture<*>? = null
    private var ended = false

    /** The helpers as the first engine is told of them. */
    val helpers: List<PrefillHelper> get() = parts.map { part ->
        PrefillHelper(
            address = part.address,
            reservationId = if (part.reservedTokens > 0) reservationId(part) else null,
        )
    }

    /** Reserves all; [onDone] hears whether that succeeded. After a failure nothing stays reserved. */
    fun reserve(onDone: (Boolean) -> Unit) {
        if (held.isEmpty()) {
            onDone(true)
            return
        }
        val answers = held.map { reserve(it) }.reduce { one, other -> one.thenCombine(other, Boolean::and) }
        answers.thenAcceptAsync(
            { all ->
                if (all) renewLater() else release()
                if (!ended || !all) onDone(all)
            },
            thread.loop,
        )
    }

    /** Ends all reservations; they were possibly made even where no answer came. */
    fun release() {
        if (ended) return
        ended = true
        renewal?.cancel(false)
        held.forEach { release(it, tries = RELEASE_TRIES) }
    }

    private fun reserve(part: PlacedPart): CompletableFuture<Boolean> =
        client.reserve(part, reservationId(part), leaseMillis).thenApply { answer ->
            val status = answer.fold(ifLeft = { it.reason }, ifRight = { "$it" })
            val reserved = status == RESERVED
            if (!reserved) {
                log.info(
                    "Memory was not reserved.",
                    LogField("request", name),
                    LogField("server", part.serverId),
                    LogField("tokens", part.reservedTokens),
                    LogField("answer", status),
                )
            }
            reserved
        }

    private fun renewLater() {
        if (ended) return
        renewal = thread.schedule(renewalMillis) {
            held.forEach { reserve(it) }
            renewLater()
        }
    }

    private fun release(part: PlacedPart, tries: Int) {
        client.release(part, reservationId(part)).thenAcceptAsync(
            { answer ->
                if (answer.isLeft() && tries > 1) {
                    release(part, tries - 1)
                } else if (answer.isLeft()) {
                    log.warn(
                        "A reservation was not ended; it runs out by itself.",
                        LogField("request", name),
                        LogField("server", part.serverId),
                    )
                }
            },
            thread.loop,
        )
    }

    private fun reservationId(part: PlacedPart): String = "$name-${part.serverId}"
}

/** The rest of the time in which memory has to be free is for the way of the last renewal. */
private const val HOLD_PERCENT = 85L

/** Two renewals in a row may be lost. */
private const val RENEWAL_PERCENT = 30L
private const val PERCENT = 100L

/** Each waits for its answer; after as many failures the reservation has nearly run out by itself. */
private const val RELEASE_TRIES = 3
private const val RESERVED = "200"
