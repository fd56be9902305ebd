package org.bulrushtack.core.platform

import arrow.core.Either
import org.bulrushtack.core.log.AppendResult
import org.bulrushtack.core.log.LogRecord
import java.util.concurrent.CompletableFuture

/** The platform's append-only log. */
public interface PlatformLog {
    /** Appends [records] in one call; either all of them are accepted or none. */
    public fun append(records: List<LogRecord>): CompletableFuture<AppendResult>

    /** Reads the entries from [fromOffset] on; waits up to [waitMillis] for the first one (long polling). */
    public fun read(fromOffset: Long, waitMillis: Long): CompletableFuture<Either<PlatformFailure, LogPage>>
}
