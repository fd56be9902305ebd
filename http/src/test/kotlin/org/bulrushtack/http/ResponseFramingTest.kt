package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ResponseFramingTest : AnnotationSpec() {
    @Test
    fun `chunks go before a length, and without both the connection ends the response`() {
        val length = HttpHeaderList().with("Content-Length", "12")
        val chunked = length.with("transfer-encoding", "Chunked")

        ResponseFraming.of(HttpHeaderList()) shouldBe ResponseFraming.CONNECTION_END
        ResponseFraming.of(length) shouldBe ResponseFraming.LENGTH
        ResponseFraming.of(chunked) shouldBe ResponseFraming.CHUNKED
    }
}
