package org.bulrushtack.http.budget

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/** Headers whose fields are counted for [account] while they are decoded; one that does not fit ends the decoding. */
internal class CountedHeaders(
    private val account: ConnectionAccount,
) : DefaultHttpHeaders() {
    /** What is counted for these headers. */
    val charge = HeaderCharge(account)

    override fun add(name: CharSequence, value: Any): HttpHeaders {
        val bytes = FIELD_BYTES + BYTES_PER_CHARACTER * (name.length + value.toString().length)
        if (!charge.tryAdd(bytes)) throw OverBudgetException()
        return super.add(name, value)
    }

    companion object {
        /** Creates the headers that a codec fills for [account]. */
        fun factory(account: ConnectionAccount): HttpHeadersFactory = object : HttpHeadersFactory {
            override fun newHeaders(): HttpHeaders = CountedHeaders(account)

            override fun newEmptyHeaders(): HttpHeaders = CountedHeaders(account)
        }
    }
}

/** What the objects of a decoded field take, in Netty's headers and again in the copy that the handler gets. */
private const val FIELD_BYTES = 256L

/** A decoded field is kept in both. */
private const val BYTES_PER_CHARACTER = 2L
