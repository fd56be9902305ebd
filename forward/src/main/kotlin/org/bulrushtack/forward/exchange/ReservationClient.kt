package org.bulrushtack.forward.exchange

import arrow.core.Either
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.http.HttpFailure
import java.util.concurrent.CompletableFuture

/** Requests for memory on engines; those that change it return the status of the response. */
internal interface ReservationClient {
    /** Reserves the memory of [part] for [leaseMillis], or renews that reservation. */
    fun reserve(part: PlacedPart, reservationId: String, leaseMillis: Long): CompletableFuture<Either<HttpFailure, Int>>

    /** Whether the engine at [address] responds to a request for its load. */
    fun isResponsive(address: String): CompletableFuture<Boolean>

    /** Releases a reservation, whether or not it was made. */
    fun release(part: PlacedPart, reservationId: String): CompletableFuture<Either<HttpFailure, Int>>
}
