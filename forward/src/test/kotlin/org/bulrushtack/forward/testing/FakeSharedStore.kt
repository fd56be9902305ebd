package org.bulrushtack.forward.testing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.store.AppendOutcome
import org.bulrushtack.core.store.KeyedValue
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic
import java.util.concurrent.CompletableFuture

/** A store in memory that counts the calls of all its clients and can turn each of them away. */
internal class FakeSharedStore(
    private val time: FakeTime,
) {
    private val records = StoreTopic.entries.associateWith { mutableListOf<StoreRecord>() }

    /** Whether calls of the client with this number are refused. */
    var refuses: (client: Int) -> Boolean = { false }

    /** Whether calls of the client with this number get no response until their time limit. */
    var isSilentTo: (client: Int) -> Boolean = { false }

    /** How long a call of the client with this number takes. */
    var latencyMillis: (client: Int) -> Long = { LATENCY_MILLIS }

    /** The client that last read the entries of the backend servers. */
    var lastReader = 0
        private set

    /** The topic of which no call succeeds. */
    var brokenTopic: StoreTopic? = null

    /** The calls of all clients so far. */
    var calls = 0
        private set

    /** Appends a record and returns the offset that follows it. */
    fun append(topic: StoreTopic): Long = append(topic, key = "key", value = byteArrayOf(1))

    /** Appends a record of [key] and returns the offset that follows it. A record without a [value] deletes the key. */
    fun append(topic: StoreTopic, key: String, value: ByteArray?): Long {
        val list = records.getValue(topic)
        list.add(StoreRecord(key = key, offset = list.size.toLong(), value = value))
        return list.size.toLong()
    }

    /** The store as the client with this [number] sees it. */
    fun client(number: Int): RecordStore = Client(number)

    private inner class Client(
        private val number: Int,
    ) : RecordStore {
        override fun newest(topic: StoreTopic) = respond(topic) {
            val list = records.getValue(topic)
            RecordBatch(records = list.takeLast(1), complete = true, endOffset = list.size.toLong())
        }

        override fun read(topic: StoreTopic, offset: Long, waitMillis: Long) = respond(topic) {
            val list = records.getValue(topic)
            RecordBatch(records = list.drop(offset.toInt()), complete = false, endOffset = list.size.toLong())
        }

        override fun put(topic: StoreTopic, key: String, value: ByteArray) =
            respond(topic) { append(topic, key, value) - 1 }

        override fun append(topic: StoreTopic, records: List<KeyedValue>, expectedEnd: Long) =
            respond<AppendOutcome>(topic) { AppendOutcome.EndMoved }

        private fun <T> respond(topic: StoreTopic, call: () -> T): CompletableFuture<Either<PlatformFailure, T>> {
            val response = CompletableFuture<Either<PlatformFailure, T>>()
            calls += 1
            if (isSilentTo(number)) {
                time.thread.schedule(TIMEOUT_MILLIS) { response.complete(PlatformFailure("timed out").left()) }
            } else {
                time.thread.schedule(latencyMillis(number)) { response.complete(result(topic, call)) }
            }
            return response
        }

        private fun <T> result(topic: StoreTopic, call: () -> T): Either<PlatformFailure, T> {
            val isRefused = refuses(number) || topic == brokenTopic
            if (!isRefused && topic == StoreTopic.BACKEND_SERVERS) lastReader = number
            return if (isRefused) PlatformFailure("status 503").left() else call().right()
        }
    }

    private companion object {
        const val LATENCY_MILLIS = 4L

        /** The limit of the client of the store. */
        const val TIMEOUT_MILLIS = 800L
    }
}
