package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.testing.FakeConfiguration
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.wire.CallerRequestHead
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageRequest

class RequestAdmissionTest : AnnotationSpec() {
    private lateinit var state: ForwardState
    private lateinit var drain: DrainState
    private lateinit var testSubject: RequestAdmission
    private var ageMillis = 0L
    private var nowMillis = 0L

    @BeforeEach
    fun setUp() {
        ageMillis = 0
        nowMillis = 0
        state = FakeDaemon.state(FakeDaemon.table(number = 1))
        state.routing = FakeConfiguration.table("/known/")
        drain = DrainState(graceMillis = { GRACE_MILLIS })
        testSubject = RequestAdmission(state, drain, { ageMillis }, { nowMillis })
    }

    private fun decide(path: String, key: String? = FakeConfiguration.KEY, host: String = FakeConfiguration.HOST) =
        testSubject.decide(
            request = HttpMessageRequest("POST", path, headers = HttpHeaderList().with("host", host)),
            head = CallerRequestHead(
                attemptId = "attempt",
                deadlineMillis = null,
                key = key,
                lastEventId = null,
                prompt = null,
            ),
        )

    private fun kind(path: String, key: String? = FakeConfiguration.KEY): ErrorKind? =
        (decide(path, key) as? AdmissionDecision.Refused)?.kind

    @Test
    fun `a daemon that knows all recent changes refuses unknown routes and keys`() {
        ageMillis = 1_500

        kind("/unknown/x") shouldBe ErrorKind.UNKNOWN_PATH
        kind("/known/x", key = "key-2") shouldBe ErrorKind.UNAUTHENTICATED
        kind("/known/x", key = null) shouldBe ErrorKind.UNAUTHENTICATED
    }

    // Guards against a daemon that tells callers that a route or key doesn't exist while it can't know about it.
    @Test
    fun `a daemon that may have missed a change doesn't call routes and keys unknown`() {
        listOf(1_501, 60_000, Long.MAX_VALUE).forEach { age ->
            ageMillis = age

            kind("/unknown/x") shouldBe ErrorKind.CONFIGURATION_OUTDATED
            kind("/known/x", key = "key-2") shouldBe ErrorKind.CONFIGURATION_OUTDATED
            kind("/known/x", key = null) shouldBe ErrorKind.CONFIGURATION_OUTDATED
        }
    }

    // Guards against an outage of the store that stops the service.
    @Test
    fun `a daemon that may have missed a change goes on serving what it knows`() {
        ageMillis = Long.MAX_VALUE

        val decision = decide("/known/x", host = "OPERATED:8080")

        decision.shouldBeInstanceOf<AdmissionDecision.Admitted>().workspace?.name shouldBe "dock"
    }

    @Test
    fun `a daemon that takes no more requests, or reaches no server, says so first`() {
        ageMillis = Long.MAX_VALUE

        state.isCutOff = true
        kind("/unknown/x") shouldBe ErrorKind.SERVERS_UNREACHABLE
        drain.start(nowMillis)
        nowMillis = GRACE_MILLIS / 2
        kind("/unknown/x") shouldBe ErrorKind.DRAINING
    }

    @Test
    fun `what requests are decided by changes only with the configuration and with what the daemon may do`() {
        val before = testSubject.basis
        ageMillis = 1_500
        testSubject.basis shouldBe before

        ageMillis = 1_501
        testSubject.basis shouldBe before.copy(isConfirmed = false)
        state.routing = FakeConfiguration.table("/known/")
        (testSubject.basis.routing === before.routing) shouldBe false
    }

    private companion object {
        const val GRACE_MILLIS = 8_000L
    }
}
