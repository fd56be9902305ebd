package org.bulrushtack.core.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.membership.MEMBER_LEASE_MILLIS
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.core.server.BackendServerDirectory
import kotlin.random.Random

class CompletionControllerTest : AnnotationSpec() {
    private val identity = MemberIdentity(name = "vm-1", incarnation = "life", dataCentre = "a")
    private val blackboard = Blackboard(identity = identity)
    private val testSubject = CompletionController(
        blackboard = blackboard,
        directory = BackendServerDirectory(blackboard),
        selector = { _, _ -> null },
        random = Random(1),
    )
    private val request = CompletionRequest(
        id = "request-1",
        workspace = "dock",
        model = "atlas",
        promptTokens = 10,
        maximumTokens = 10,
        receivedAtMillis = 0,
        deadlineAtMillis = 60_000,
    )

    private fun sendToOwnerWithoutHeartbeats() {
        val region = blackboard.requests
        region.active.clear()
        region.send(active = region.add(request), server = "engine", owner = "vm-2")
    }

    private fun isInFlight() = blackboard.requests.active.getValue("request-1").owner == "vm-2"

    @Test
    fun `an attempt whose tokens still arrive is not abandoned when its owner sends no heartbeats`() {
        sendToOwnerWithoutHeartbeats()

        testSubject.handle(Event.AttemptProgressed(requestId = "request-1", attempt = 1), nowMillis = 1_000)
        testSubject.handle(Event.Tick, nowMillis = 1_000 + MEMBER_LEASE_MILLIS)

        isInFlight() shouldBe true
    }

    @Test
    fun `an attempt is abandoned one lease after the last token or heartbeat of its owner`() {
        sendToOwnerWithoutHeartbeats()

        testSubject.handle(Event.AttemptProgressed(requestId = "request-1", attempt = 1), nowMillis = 1_000)
        testSubject.handle(Event.Tick, nowMillis = 1_001 + MEMBER_LEASE_MILLIS)

        isInFlight() shouldBe false
    }

    @Test
    fun `tokens of an abandoned attempt do not count as progress of the current attempt`() {
        sendToOwnerWithoutHeartbeats()

        testSubject.handle(Event.AttemptProgressed(requestId = "request-1", attempt = 0), nowMillis = 1_000)
        testSubject.handle(Event.Tick, nowMillis = 1_000)

        isInFlight() shouldBe false
    }

    /** Loses the engines of [count] attempts, with [tokens] after they sent some; returns the last actions. */
    private fun loseEngines(count: Int, tokens: Boolean): List<Action> {
        val region = blackboard.requests
        region.active.clear()
        region.add(request)
        return (1..count).map { number ->
            region.send(active = region.active.getValue("request-1"), server = "engine-$number", owner = "vm-2")
            if (tokens) testSubject.handle(Event.AttemptProgressed(requestId = "request-1", attempt = number), 0)
            testSubject.handle(
                Event.AttemptFailed(
                    requestId = "request-1",
                    attempt = number,
                    problem = Problem(ErrorKind.BACKEND_LOST),
                    reachedServer = true,
                ),
                nowMillis = 0,
            )
        }.last()
    }

    // Guards against one prompt that takes down engine after engine.
    @Test
    fun `a completion is not sent on after three engines were lost before their first token`() {
        loseEngines(count = 2, tokens = false) shouldBe emptyList()

        loseEngines(count = 3, tokens = false).size shouldBe 1
    }

    @Test
    fun `a completion whose lost engines had sent tokens is sent on`() {
        loseEngines(count = 3, tokens = true) shouldBe emptyList()
    }
}
