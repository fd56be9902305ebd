package org.bulrushtack.forward.exchange

import arrow.core.Either
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.http.HttpFailure
import java.util.concurrent.CompletableFuture

/** Orders about memory on engines; each gives the status of the engine's answer. */
internal interface ReservationOrders {
    /** Reserves the memory of [part] for [leaseMillis], or renews that reservation. */
    fun reserve(part: PlacedPart, reservationId: String, leaseMillis: Long): CompletableFuture<Either<HttpFailure, Int>>

    /** Ends a reservation, whether it was made or not. */
    fun end(part: PlacedPart, reservationId: String): CompletableFuture<Either<HttpFailure, Int>>
}
