package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.wire.Helper
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledFuture

/**
 * The memory that one send has reserved on several engines: all of it or none, renewed while the send runs. A
 * reservation that this daemon can no longer end runs out by itself.
 */
internal class Reservations(
    private val tools: ExchangeTools,
    private val requestId: String,
    private val prefix: String,
    private val parts: List<PlacedPart>,
) {
    private val held = parts.filter { it.ticketTokens > 0 }
    private var renewal: ScheduledFuture<*>? = null
    private var ended = false

    /** The helpers as the first engine is told of them. */
    val helpers: List<Helper> get() = parts.map { part ->
        Helper(address = part.address, ticketId = if (part.ticketTokens > 0) ticketId(part) else null)
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
            tools.thread.loop,
        )
    }

    /** Ends all reservations; they were possibly made even where no answer came. */
    fun release() {
        if (ended) return
        ended = true
        renewal?.cancel(false)
        held.forEach { end(it, tries = RELEASE_TRIES) }
    }

    private fun reserve(part: PlacedPart): CompletableFuture<Boolean> {
        val order = tools.codec.reservation(part.address, ticketId(part), part.ticketTokens, HOLD_MILLIS)
        return tools.client.exchange(order.copy(timeoutMillis = ORDER_MILLIS)).thenApply { answer ->
            val status = answer.fold(ifLeft = { it.reason }, ifRight = { "${it.status}" })
            val reserved = status == RESERVED
            if (!reserved) {
                tools.log.info(
                    "Memory was not reserved.",
                    LogField("request", requestId),
                    LogField("server", part.serverId),
                    LogField("tokens", part.ticketTokens),
                    LogField("answer", status),
                )
            }
            reserved
        }
    }

    private fun renewLater() {
        if (ended) return
        renewal = tools.thread.after(RENEWAL_MILLIS) {
            held.forEach { reserve(it) }
            renewLater()
        }
    }

    private fun end(part: PlacedPart, tries: Int) {
        val order = tools.codec.reservationEnd(part.address, ticketId(part)).copy(timeoutMillis = ORDER_MILLIS)
        tools.client.exchange(order).thenAcceptAsync(
            { answer ->
                if (answer.isLeft() && tries > 1) {
                    end(part, tries - 1)
                } else if (answer.isLeft()) {
                    tools.log.warn(
                        "A reservation was not ended; it runs out by itself.",
                        LogField("request", requestId),
                        LogField("server", part.serverId),
                    )
                }
            },
            tools.thread.loop,
        )
    }

    private fun ticketId(part: PlacedPart): String = "$prefix-${part.serverId}"
}

/**
 * Memory has to be free four seconds after the request that used it has ended, also when the daemon that reserved it
 * died just after a renewal. Two renewals in a row may be lost.
 */
private const val HOLD_MILLIS = 3_400L
private const val RENEWAL_MILLIS = 1_000L
private const val ORDER_MILLIS = 500L
private const val RELEASE_TRIES = 3
private const val RESERVED = "200"
