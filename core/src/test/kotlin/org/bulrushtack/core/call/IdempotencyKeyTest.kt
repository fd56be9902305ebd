package org.bulrushtack.core.call

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.error.ErrorKind

class IdempotencyKeyTest : AnnotationSpec() {
    @Test
    fun `a generated key is parsed with its creation time`() {
        val key = IdempotencyKey.generate(nowMillis = 1_796_356_034_994, random = -1L to -1L)

        IdempotencyKey.parse(key.text).getOrNull() shouldBe key
    }

    @Test
    fun `a UUID of another version or a text that is no UUID is malformed`() {
        listOf("9f1b7c1e-6f0a-4c39-9d0c-0a3c5f6b7a11", "", "key-1").forEach { text ->
            IdempotencyKey.parse(text).leftOrNull() shouldBe ErrorKind.KEY_MALFORMED
        }
    }
}
