package org.bulrushtack.core.backend

import arrow.core.Either
import org.bulrushtack.core.dispatch.RunningList
import org.bulrushtack.core.dispatch.ServerReport
import java.util.concurrent.CompletableFuture

/** Reads the state that backend servers report, and cancels requests that they hold. */
public interface ServerInspector {
    /** Reads the list of requests that the server holds; the left side says why it could not be read. */
    public fun listRequests(address: String): CompletableFuture<Either<String, RunningList>>

    /** Reads the server's load report, which lags; the left side says why it could not be read. */
    public fun readLoad(address: String): CompletableFuture<Either<String, ServerReport>>

    /** Requests the cancellation of a request; the server's next list shows whether it was cancelled. */
    public fun cancel(address: String, context: BackendRequestContext)
}
