package org.bulrushtack.core.store

import arrow.core.Either
import org.bulrushtack.core.platform.PlatformFailure
import java.util.concurrent.CompletableFuture

/** The platform's store of keyed records. */
public interface RecordStore {
    /** Reads the newest record of every key of [topic]. */
    public fun newest(topic: StoreTopic): CompletableFuture<Either<PlatformFailure, RecordBatch>>

    /** Reads the records of [topic] from [offset] on (long poll); waits up to [waitMillis] if there is none. */
    public fun read(
        topic: StoreTopic,
        offset: Long,
        waitMillis: Long,
    ): CompletableFuture<Either<PlatformFailure, RecordBatch>>

    /**
     * Writes the record of [key] and returns its offset; an empty [value] deletes the key. After a failure the record
     * may or may not be stored.
     */
    public fun put(topic: StoreTopic, key: String, value: ByteArray): CompletableFuture<Either<PlatformFailure, Long>>

    /**
     * Writes [records] together if [topic] ends at [expectedEnd] then. After a failure the records may be stored, or
     * may be stored later if the condition still holds.
     */
    public fun append(
        topic: StoreTopic,
        records: List<KeyedValue>,
        expectedEnd: Long,
    ): CompletableFuture<Either<PlatformFailure, AppendOutcome>>
}
