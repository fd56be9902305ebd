package org.bulrushtack.core.platform

import arrow.core.Either
import org.bulrushtack.core.log.AppendResult
import org.bulrushtack.core.log.LogRecord
import java.util.concurrent.CompletableFuture

/** The platform's append-only log. */
public interface PlatformLog {
    /** Appends [records] in one call; all of them are taken, or none. */
    public fun append(records: List<LogRecord>): CompletableFuture<AppendResult>

    /** Reads entries from [fromOffset] on; waits up to [waitMillis] for one when there is none. */
    public fun read(fromOffset: Long, waitMillis: Long): CompletableFuture<Either<PlatformFailure, LogPage>>
}
