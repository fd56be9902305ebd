package org.bulrushtack.forward.exchange

import arrow.core.Either
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.forward.wire.ExchangeCodec
import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpFailure
import java.util.concurrent.CompletableFuture

/** Sends reservation requests to the engines over HTTP. */
internal class HttpReservationClient(
    private val codec: ExchangeCodec,
    private val client: HttpClient,
) : ReservationClient {
    override fun reserve(part: PlacedPart, reservationId: String, leaseMillis: Long) =
        send(codec.reservationRequest(part.address, reservationId, part.reservedTokens, leaseMillis))

    override fun release(part: PlacedPart, reservationId: String) =
        send(codec.reservationReleaseRequest(part.address, reservationId))

    override fun isResponsive(address: String): CompletableFuture<Boolean> =
        send(codec.loadReportRequest(address)).thenApply { it.isRight() }

    private fun send(request: ClientRequest): CompletableFuture<Either<HttpFailure, Int>> =
        client.exchange(request.copy(timeoutMillis = REQUEST_TIMEOUT_MILLIS))
            .thenApply { response -> response.map { it.status } }
}

/** About a hundred round trips between data centres; limits how long a prompt waits for memory on its helpers. */
private const val REQUEST_TIMEOUT_MILLIS = 500L
