package org.bulrushtack.core.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.core.server.BackendServerDirectory
import kotlin.random.Random

/** Completions that are pending, or arrive, when the process is about to exit. */
class CompletionShutdownTest : AnnotationSpec() {
    private lateinit var blackboard: Blackboard
    private lateinit var testSubject: CompletionController
    private val request = CompletionRequest(
        id = "request-1",
        workspace = "dock",
        model = "atlas",
        promptTokens = 10,
        maximumTokens = 10,
        receivedAtMillis = 0,
        deadlineAtMillis = 60_000,
    )

    @BeforeEach
    fun createController() {
        blackboard = Blackboard(MemberIdentity(name = "vm-1", incarnation = "life", dataCentre = "a"))
        testSubject = CompletionController(
            blackboard = blackboard,
            directory = BackendServerDirectory(blackboard),
            selector = { _, _ -> null },
            random = Random(1),
        )
    }

    private fun handle(event: Event): ErrorKind? =
        (testSubject.handle(event, nowMillis = 1_000).singleOrNull() as Action.FailRequest?)?.problem?.kind

    private fun send() {
        blackboard.requests.send(active = blackboard.requests.add(request), server = "engine", owner = "vm-2")
    }

    @Test
    fun `a completion that waits for a backend server is refused as not run when the exit is due`() {
        blackboard.requests.add(request)
        blackboard.members.exitDue = true

        handle(Event.ExitDue) shouldBe ErrorKind.DRAINING
    }

    @Test
    fun `a completion whose queued work is refused is not retried when the exit is due`() {
        send()
        blackboard.members.exitDue = true
        val refusal =
            Event.AttemptFailed("request-1", attempt = 1, problem = Problem(ErrorKind.DRAINING), reachedServer = false)

        handle(Event.ExitDue) shouldBe null
        handle(refusal) shouldBe ErrorKind.DRAINING
    }

    @Test
    fun `a completion that a server may have got ends as lost when the exit is due`() {
        send()
        blackboard.members.exitDue = true

        handle(Event.ExitDue) shouldBe null
        handle(Event.Tick) shouldBe ErrorKind.BACKEND_LOST
    }

    @Test
    fun `a completion that arrives after the end of the admission is refused as not run`() {
        blackboard.members.admitsRequests = false

        handle(Event.CompletionRequested(request)) shouldBe ErrorKind.DRAINING
    }
}
