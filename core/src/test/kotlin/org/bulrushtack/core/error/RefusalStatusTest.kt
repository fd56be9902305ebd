package org.bulrushtack.core.error

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class RefusalStatusTest : AnnotationSpec() {
    // Guards against a kind of error that lets callers repeat a request that may have run.
    @Test
    fun `every kind whose status promises that nothing ran states the same`() {
        ErrorKind.entries
            .filter { RefusalStatus.promisesNotRun(it.status) }
            .forEach { it.runState shouldBe RunState.NO }
    }

    @Test
    fun `a failure that leaves the outcome open is no refusal`() {
        listOf(200, 400, 500, 502, 504).forEach { RefusalStatus.promisesNotRun(it) shouldBe false }
    }
}
