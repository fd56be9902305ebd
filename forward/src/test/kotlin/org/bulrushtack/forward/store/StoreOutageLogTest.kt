package org.bulrushtack.forward.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.CapturedLog
import org.bulrushtack.forward.testing.FakeObservedDaemon
import org.bulrushtack.forward.testing.field

class StoreOutageLogTest : AnnotationSpec() {
    private val daemon = FakeObservedDaemon()
    private val log = CapturedLog()
    private var isStopping = false
    private val testSubject = StoreOutageLog(
        replica = daemon.replica,
        log = EventLogs(daemon.time).forComponent("store"),
        clock = daemon.time,
        isStopping = { isStopping },
    )

    @AfterAll
    fun endLog() = log.close()

    // Guards against an end of the run that looks like an outage, and an outage whose length nobody knows.
    @Test
    fun `an outage is a warning at its begin and at its end, with all that tells which one it is`() {
        daemon.merge(version = 8)
        daemon.run(600)
        isStopping = true

        testSubject.recordFailure(StoreTopic.OPERATOR, PlatformFailure(REFUSED))
        daemon.run(1_500)
        testSubject.recordFailure(StoreTopic.OPERATOR, PlatformFailure(REFUSED))
        testSubject.recordSuccess(StoreTopic.OPERATOR)
        testSubject.recordSuccess(StoreTopic.OPERATOR)

        val begin = log.lines.single { "The platform's store is unavailable." in it }
        begin.take(EXCERPT_LENGTH).field("reason") shouldBe REFUSED
        begin.field("known_to") shouldBe "9"
        begin.field("age_millis") shouldBe "604"
        begin.field("call") shouldBe "poll"
        begin.field("stopping") shouldBe "true"
        begin.field("version") shouldBe "8"
        val end = log.line("The platform's store is available again.")
        end shouldContain " WARN "
        end.field("away_millis") shouldBe "1500"
        end.field("age_millis") shouldBe "2104"
    }

    private companion object {
        const val EXCERPT_LENGTH = 200
        const val REFUSED = "java.net.ConnectException: Connection refused"
    }
}
