package org.bulrushtack.core.store

import arrow.core.Either
import org.bulrushtack.core.platform.PlatformFailure
import java.util.concurrent.CompletableFuture

/** The platform's store of keyed records. */
public interface RecordStore {
    /** The newest record of every key of [topic]. */
    public fun newest(topic: StoreTopic): CompletableFuture<Either<PlatformFailure, RecordBatch>>

    /** The records of [topic] from [offset] on; waits up to [waitMillis] for one when there is none. */
    public fun read(
        topic: StoreTopic,
        offset: Long,
        waitMillis: Long,
    ): CompletableFuture<Either<PlatformFailure, RecordBatch>>

    /** Writes the record of [key] and gives its offset; after a failure it may or may not stand there. */
    public fun put(topic: StoreTopic, key: String, value: ByteArray): CompletableFuture<Either<PlatformFailure, Long>>
}
