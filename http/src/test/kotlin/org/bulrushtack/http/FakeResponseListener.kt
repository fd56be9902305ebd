package org.bulrushtack.http

/** Records the response to a request. */
internal class FakeResponseListener : ResponseListener {
    val statuses = mutableListOf<Int>()
    val failures = mutableListOf<HttpFailure>()
    var body = ""
        private set
    var isComplete = false
        private set

    override fun onHead(status: Int, headers: HttpHeaderList) {
        statuses.add(status)
    }

    override fun onData(bytes: ByteArray) {
        body += bytes.decodeToString()
    }

    override fun onComplete() {
        isComplete = true
    }

    override fun onFailure(failure: HttpFailure) {
        failures.add(failure)
    }
}
