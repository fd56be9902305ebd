package org.bulrushtack.core.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route

class StreamTimeoutsTest : AnnotationSpec() {
    private fun route(objectiveMillis: Long, tokenGapMillis: Long?) = Route(
        name = "route",
        host = "one.example",
        pathPrefix = "/",
        streamed = true,
        repeatability = Repeatability.RESUMABLE,
        timeoutMillis = 10_000,
        objectiveMillis = objectiveMillis,
        tokenGapMillis = tokenGapMillis,
        priority = 1,
        split = emptyList(),
        maximumSends = 2,
        open = false,
    )

    @Test
    fun `all timeouts for a short prompt are shorter than the time that its caller waits`() {
        val route = route(objectiveMillis = 300, tokenGapMillis = 250)

        val testSubject = StreamTimeouts.forRoute(route, finalMillis = 10_000)

        testSubject.placementMillis shouldBeLessThan CALLER_LEAVES_MILLIS
        testSubject.firstEventMillis shouldBeLessThan CALLER_LEAVES_MILLIS
        testSubject.eventGapMillis shouldBeLessThan CALLER_LEAVES_MILLIS
    }

    @Test
    fun `placement takes at most half of the time to the deadline`() {
        val route = route(objectiveMillis = 3_000, tokenGapMillis = 1_000)

        val testSubject = StreamTimeouts.forRoute(route, finalMillis = 1_000)

        testSubject.placementMillis shouldBe 500
    }

    private companion object {
        const val CALLER_LEAVES_MILLIS = 2_000L
    }
}
