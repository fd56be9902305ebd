package org.bulrushtack.forward.exchange

import arrow.core.Either
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.wire.ExchangeCodec
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import java.util.concurrent.CompletableFuture

/** Sends orders about memory to the engines. */
internal class MemoryOrders(
    private val codec: ExchangeCodec,
    private val client: HttpClient,
) : ReservationOrders {
    override fun reserve(part: PlacedPart, reservationId: String, leaseMillis: Long) =
        send(codec.reservation(part.address, reservationId, part.reservedTokens, leaseMillis))

    override fun end(part: PlacedPart, reservationId: String) =
        send(codec.reservationReleaseRequest(part.address, reservationId))

    private fun send(order: ClientRequest): CompletableFuture<Either<HttpFailure, Int>> =
        client.exchange(order.copy(timeoutMillis = ORDER_MILLIS)).thenApply { answer -> answer.map { it.status } }
}

/** Some hundred times a round trip between data centres; a prompt waits no longer for the memory of its helpers. */
private const val ORDER_MILLIS = 500L
