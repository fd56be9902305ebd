package org.bulrushtack.forward.lifecycle

import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreRecordDecoder
import org.bulrushtack.forward.wire.DirectoryCodec
import org.bulrushtack.forward.wire.DutyCodec
import org.bulrushtack.forward.wire.ExchangeCodec
import org.bulrushtack.http.HttpClient

/** What the adapter of a platform provides to a forwarding daemon. */
interface ForwardPlatform {
    /** Decodes the records of the store. */
    val recordDecoder: StoreRecordDecoder

    /** Reads and writes headers and bodies of requests. */
    val exchangeCodec: ExchangeCodec

    /** Reads and writes address lookups and readiness checks. */
    val directoryCodec: DirectoryCodec

    /** Writes calls to the platform's duty address; null for a platform without duties. */
    val dutyCodec: DutyCodec? get() = null

    /** The store at [address], accessed through [client]. */
    fun store(client: HttpClient, address: String): RecordStore
}
