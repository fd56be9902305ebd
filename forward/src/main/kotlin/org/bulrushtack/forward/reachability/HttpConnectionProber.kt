package org.bulrushtack.forward.reachability

import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.http.HttpClient

/** Opens connections as requests do, and closes them at once. */
internal class HttpConnectionProber(
    private val client: HttpClient,
    private val thread: ForwardThread,
) : ConnectionProber {
    override fun probe(address: String, onResult: (connected: Boolean) -> Unit) =
        thread.whenDone(client.probe(address)) { connected, _ -> onResult(connected == true) }
}
