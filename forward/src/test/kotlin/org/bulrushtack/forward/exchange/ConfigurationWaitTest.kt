package org.bulrushtack.forward.exchange

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.forward.testing.FakeConfiguration
import org.bulrushtack.forward.testing.FakeExchange
import org.bulrushtack.forward.testing.FakeTime

class ConfigurationWaitTest : AnnotationSpec() {
    private lateinit var time: FakeTime
    private lateinit var testSubject: ConfigurationWait
    private var basis = UNCONFIGURED
    private var ended = 0

    @BeforeEach
    fun setUp() {
        time = FakeTime()
        basis = UNCONFIGURED
        ended = 0
        testSubject = ConfigurationWait(thread = time.thread, basis = { basis })
    }

    private fun hold(exchange: FakeExchange = FakeExchange(), deadlineMillis: Long? = 10_000) =
        testSubject.hold(exchange, deadlineMillis, receivedAtMillis = time.nowMillis()) { ended += 1 }

    /** Guards against refusing the callers that return together after all VMs were off. */
    @Test
    fun `a request goes on as soon as the configuration is known`() {
        hold() shouldBe true
        time.advance(400)
        ended shouldBe 0

        basis = basis.copy(routing = FakeConfiguration.table(), isConfirmed = true)
        time.advance(20)

        ended shouldBe 1
        testSubject.size shouldBe 0
    }

    /** Guards against holding a caller until its deadline on a daemon that can't read the store. */
    @Test
    fun `a request is given up after an eighth of its time`() {
        hold(deadlineMillis = 800) shouldBe true

        time.advance(80)
        ended shouldBe 0
        time.advance(40)

        ended shouldBe 1
    }

    /** Guards against handing on a request whose caller has left. */
    @Test
    fun `a request whose caller has left is forgotten`() {
        val exchange = FakeExchange()
        hold(exchange)

        exchange.closeByCaller()
        basis = basis.copy(routing = FakeConfiguration.table(), isConfirmed = true)
        time.advance(2_000)

        ended shouldBe 0
        testSubject.size shouldBe 0
    }

    /** Guards against a crowd that fills the memory of a daemon that has just started. */
    @Test
    fun `only a bounded number of requests is held, and none without time`() {
        val held = (1..300).count { hold() }

        held shouldBe 256
        hold(deadlineMillis = null) shouldBe false
    }

    /** Guards against holding a caller until its deadline on a daemon whose configuration changes again and again. */
    @Test
    fun `a request that is held again ends no later than if it were held once`() {
        val receivedAtMillis = time.nowMillis()
        fun holdAgain() {
            ended += 1
            testSubject.hold(FakeExchange(), deadlineMillis = 800, receivedAtMillis) { holdAgain() }
        }
        holdAgain()
        time.advance(60)
        basis = basis.copy(routing = FakeConfiguration.table())

        time.advance(20)
        testSubject.size shouldBe 1
        time.advance(20)

        testSubject.size shouldBe 0
        ended shouldBe 3
    }

    @Test
    fun `a request goes on as soon as the daemon takes no more of them`() {
        hold()

        basis = basis.copy(isClosing = true)
        time.advance(20)

        ended shouldBe 1
    }

    private companion object {
        val UNCONFIGURED = AdmissionBasis(routing = null, isConfirmed = false, isClosing = false, isCutOff = false)
    }
}
