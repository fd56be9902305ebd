package org.bulrushtack.forward.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic

/** Guards against a configuration of over a thousand routes that one daemon sends uncompressed to all others. */
class CompressedValuesTest : AnnotationSpec() {
    private fun configuration(routes: Int) =
        (1..routes).joinToString(",") { """{"name":"route-$it","path_prefix":"/route-$it/","timeout_ms":10000}""" }

    private fun encode(vararg records: StoreRecord) = CoordinationMessages.toWire(
        topic = StoreTopic.OPERATOR,
        batch = RecordBatch(records = records.toList(), complete = true, endOffset = 9),
        ageMillis = 0,
    )

    @Test
    fun `a large value round-trips unchanged in less than a tenth of its bytes`() {
        val value = configuration(routes = 1_300).toByteArray()

        val message = encode(StoreRecord(key = "config", offset = 3, value = value))

        CoordinationMessages.fromWire(message).records.single().value shouldBe value
        message.serializedSize shouldBeLessThan value.size / 10
    }

    @Test
    fun `small values and dropped keys round-trip unchanged`() {
        val message = encode(
            StoreRecord(key = "a", offset = 1, value = "short".toByteArray()),
            StoreRecord(key = "b", offset = 2, value = null),
            StoreRecord(key = "c", offset = 3, value = ByteArray(0)),
        )

        CoordinationMessages.fromWire(message).records.map { it.value?.decodeToString() } shouldBe
            listOf("short", null, "")
    }
}
