package org.bulrushtack.core.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route

class StreamTimeoutsTest : AnnotationSpec() {
    private fun route(objectiveMillis: Long, pauseMillis: Long?) = Route(
        name = "route",
        host = "one.example",
        pathPrefix = "/",
        streamed = true,
        repeatability = Repeatability.RESUMABLE,
        timeoutMillis = 10_000,
        objectiveMillis = objectiveMillis,
        pauseMillis = pauseMillis,
        priority = 1,
        split = emptyList(),
        maximumSends = 2,
        open = false,
    )

    @Test
    fun `every wait ends before the caller of a short prompt leaves`() {
        val testSubject = StreamTimeouts.of(route(objectiveMillis = 300, pauseMillis = 250), finalMillis = 10_000)

        testSubject.placeMillis shouldBeLessThan CALLER_LEAVES_MILLIS
        testSubject.firstEventMillis shouldBeLessThan CALLER_LEAVES_MILLIS
        testSubject.pauseMillis shouldBeLessThan CALLER_LEAVES_MILLIS
    }

    @Test
    fun `no wait is longer than half of the time that is left`() {
        StreamTimeouts.of(route(objectiveMillis = 3_000, pauseMillis = 1_000), finalMillis = 1_000).placeMillis shouldBe 500
    }

    private companion object {
        const val CALLER_LEAVES_MILLIS = 2_000L
    }
}
