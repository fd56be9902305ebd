package org.bulrushtack.forward.life

import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreRecordDecoder
import org.bulrushtack.forward.wire.EntryCodec
import org.bulrushtack.forward.wire.ExchangeCodec
import org.bulrushtack.http.HttpClient

/** What a platform's adapter gives a forwarding daemon. */
interface ForwardPlatform {
    /** Reads what records in the store mean. */
    val facts: StoreRecordDecoder

    /** Reads and writes headers and bodies of requests. */
    val exchanges: ExchangeCodec

    /** Reads and writes what callers ask daemons about themselves. */
    val entries: EntryCodec

    /** The store, reached by [client] at [address]. */
    fun store(client: HttpClient, address: String): RecordStore
}
