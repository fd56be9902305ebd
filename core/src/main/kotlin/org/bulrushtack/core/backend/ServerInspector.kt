package org.bulrushtack.core.backend

import arrow.core.Either
import org.bulrushtack.core.dispatch.RunningList
import org.bulrushtack.core.dispatch.ServerReport
import java.util.concurrent.CompletableFuture

/** Reads what backend servers say of themselves, and cancels requests that they hold. */
public interface ServerInspector {
    /** The server's list of what it holds, or why it could not be read. */
    public fun listRequests(address: String): CompletableFuture<Either<String, RunningList>>

    /** The server's load report, which lags, or why it could not be read. */
    public fun readLoad(address: String): CompletableFuture<Either<String, ServerReport>>

    /** Asks the server to cancel a request; its next list says whether it did. */
    public fun cancel(address: String, context: BackendRequestContext)
}
