package org.bulrushtack.core.call

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.RecordIdentifiers
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.CallKey
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.core.server.BackendServerDirectory
import kotlin.random.Random

/** Repeatable calls, which may be sent to several servers, while only the first one can be reached. */
class CallControllerTest : AnnotationSpec() {
    private lateinit var blackboard: Blackboard
    private lateinit var testSubject: CallController
    private val call = ServiceCall(
        id = "request-1",
        workspace = "dock",
        service = "booking",
        operation = "lookup",
        key = null,
        keyAgeMillis = null,
        fingerprint = "party of four",
        receivedAtMillis = 0,
        deadlineAtMillis = DEADLINE_MILLIS,
    )

    @BeforeEach
    fun sendCall() {
        blackboard = Blackboard(MemberIdentity(name = "vm-1", incarnation = "life", dataCentre = "a"))
        testSubject = CallController(
            blackboard = blackboard,
            directory = BackendServerDirectory(blackboard),
            selector = { _, _ -> null },
            identifiers = RecordIdentifiers(blackboard.identity),
            random = Random(1),
        )
        blackboard.calls.put(
            ActiveCall(call = call, stage = ActiveCall.Stage.SENT, attempt = 1, server = "booking-1"),
        )
    }

    private fun fail(kind: ErrorKind) =
        testSubject.handle(Event.CallAttemptFailed(requestId = call.id, problem = Problem(kind)), nowMillis = 0)

    /** Lets the time pass until the call has failed, and returns the kind of its error. */
    private fun finalKind(): ErrorKind = (0..2 * DEADLINE_MILLIS step TICK_MILLIS)
        .firstNotNullOf { testSubject.handle(Event.Tick, nowMillis = it).singleOrNull() as Action.FailCall? }
        .problem.kind

    // Guards against an answer that promises that nothing ran, since the last of several servers was not reached.
    @Test
    fun `a call that may have run on the first server is not reported as refused when there is no second one`() {
        fail(ErrorKind.BACKEND_LOST)

        finalKind() shouldBe ErrorKind.BACKEND_LOST
    }

    @Test
    fun `a call that may have run is not reported as refused when the process exits`() {
        fail(ErrorKind.BACKEND_LOST)
        testSubject.handle(Event.Tick, nowMillis = TICK_MILLIS)

        val ended = testSubject.handle(Event.ExitDue, nowMillis = TICK_MILLIS)

        (ended.single() as Action.FailCall).problem.kind shouldBe ErrorKind.BACKEND_LOST
    }

    @Test
    fun `a call that reached no server is refused`() {
        fail(ErrorKind.NOT_DISPATCHED)

        finalKind() shouldBe ErrorKind.NO_BACKEND_SERVER
    }

    // Guards against a status that is none, from another daemon or from the record of an earlier version.
    @Test
    fun `an answer without a final status is no answer`() {
        listOf(0, 99, 100, 199, 600, -200).forEach { status ->
            listOf(null to ErrorKind.BACKEND_LOST, CLAIM_KEY to ErrorKind.OUTCOME_UNKNOWN).forEach { (key, kind) ->
                val answer = CallAnswer(status = status, contentType = "text/plain", body = "")
                val active = ActiveCall(call = call, stage = ActiveCall.Stage.SENT, attempt = 1, claimKey = key)

                val action = blackboard.calls.answer(active, answer, replayed = false).single()

                (action as Action.FailCall).problem.kind shouldBe kind
            }
        }
    }

    private companion object {
        val CLAIM_KEY = CallKey(workspace = "dock", service = "booking", idempotencyKey = "key-1")
        const val DEADLINE_MILLIS = 10_000L
        const val TICK_MILLIS = 100L
    }
}
