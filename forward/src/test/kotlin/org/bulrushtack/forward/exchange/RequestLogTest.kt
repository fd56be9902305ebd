package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.exchange.AnswerTimeEstimate
import org.bulrushtack.core.exchange.StreamTimeouts
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.WeightedService
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.store.ConfigurationKnowledge
import org.bulrushtack.forward.testing.CapturedLog
import org.bulrushtack.forward.testing.FakeExchange
import org.bulrushtack.forward.testing.FakeTime
import org.bulrushtack.forward.testing.field
import org.bulrushtack.forward.wire.CallerRequestHead

class RequestLogTest : AnnotationSpec() {
    // Guards against a request that was forwarded by a removed route and whose lines don't tell by which version.
    @Test
    fun `a forwarded request tells the version by which it was admitted and how old that was then`() {
        val line = CapturedLog().use { log ->
            RequestLog(EventLogs(FakeTime()).forComponent("front")).recordFinished(CONTEXT, "answered", ageMillis = 31)
            log.line("A request finished.")
        }

        line.field("route") shouldBe "r-4by84ri"
        line.field("version") shouldBe "12"
        line.field("known_millis") shouldBe "812"
        line.field("age_millis") shouldBe "31"
    }

    private companion object {
        val ROUTE = Route(
            name = "r-4by84ri",
            host = "a.example",
            pathPrefix = "/",
            streamed = false,
            repeatability = Repeatability.SAFE,
            timeoutMillis = 1_000,
            objectiveMillis = 300,
            tokenGapMillis = null,
            priority = 0,
            split = listOf(WeightedService(service = "plain", weight = 1)),
            maximumSends = 1,
            open = true,
        )
        val CONTEXT = ForwardedRequestContext(
            requestId = "242fdcb0950f992f",
            service = "plain",
            route = ROUTE,
            caller = CallerRequestHead(
                attemptId = "242fdcb0950f992f",
                deadlineMillis = null,
                key = null,
                lastEventId = null,
                prompt = null,
            ),
            workspace = null,
            timeouts = StreamTimeouts.forRoute(ROUTE, finalMillis = 1_000),
            receivedAtMillis = 0,
            deadlineAtMillis = 1_000,
            answerTime = AnswerTimeEstimate.untilDeadline(1_000),
            request = FakeExchange().request,
            knowledge = ConfigurationKnowledge(version = 12, knownMillis = 812),
        )
    }
}
