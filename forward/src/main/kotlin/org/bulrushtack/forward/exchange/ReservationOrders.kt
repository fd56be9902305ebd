package org.bulrushtack.forward.exchange

import arrow.core.Either
import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.http.HttpFailure
import java.util.concurrent.CompletableFuture

/** Orders about memory on engines; each gives the status of the engine's answer. */
internal interface ReservationOrders {
    /** Reserves the memory of [part] for [holdMillis], or renews that reservation. */
    fun reserve(part: PlacedPart, ticketId: String, holdMillis: Long): CompletableFuture<Either<HttpFailure, Int>>

    /** Ends a reservation, whether it was made or not. */
    fun end(part: PlacedPart, ticketId: String): CompletableFuture<Either<HttpFailure, Int>>
}
