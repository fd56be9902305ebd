package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class ResponseBufferShareTest : AnnotationSpec() {
    // Guards against servers that begin a response, then fall silent, until the heap is used up.
    @Test
    fun `all requests together hold back no more than a fifth of the heap`() {
        (1..MOST_REQUESTS).forEach { active ->
            active * ResponseBufferShare.bytes(active) shouldBeLessThanOrEqual HEAP_BYTES / 5
        }
    }

    @Test
    fun `a usual number of requests doesn't limit any of them`() {
        listOf(0, 1, 500).forEach { active -> ResponseBufferShare.bytes(active) shouldBe 65_536 }
    }

    private companion object {
        /** Each has a connection to its caller and one to its server, of 3,900 descriptors. */
        const val MOST_REQUESTS = 1_950
        const val HEAP_BYTES = 167_772_160
    }
}
