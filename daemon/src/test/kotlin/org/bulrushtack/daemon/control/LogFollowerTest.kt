package org.bulrushtack.daemon.control

import arrow.core.Either
import arrow.core.right
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.ControlLoop
import org.bulrushtack.core.log.AppendResult
import org.bulrushtack.core.log.LogRecord
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.core.membership.VmRecord
import org.bulrushtack.core.platform.LogPage
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.platform.PlatformLog
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Reads from a platform whose first replies end in unexpected errors. */
class LogFollowerTest : AnnotationSpec() {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val blackboard = Blackboard(MemberIdentity(name = "vm-1", incarnation = "1", dataCentre = "a"))
    private val control = ControlThread(blackboard, ControlLoop(blackboard, Random(1)), clock = { 0 })

    @AfterAll
    fun stop() {
        control.stop()
        timer.shutdownNow()
    }

    /** Fails in one way, then in the other, then yields [reply]. */
    private class Replies<T>(
        private val reply: T,
    ) {
        private var calls = 0
        val readsAfterFailures = CountDownLatch(1)

        fun next(): CompletableFuture<Either<PlatformFailure, T>> {
            calls += 1
            check(calls != 1) { "a defect before the reply" }
            if (calls == 2) return CompletableFuture.failedFuture(StackOverflowError("a defect in the reply"))
            readsAfterFailures.countDown()
            return CompletableFuture.completedFuture(reply.right())
        }

        fun awaitRead(): Boolean = readsAfterFailures.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    // Guards against a daemon that follows the log no more after one unexpected error.
    @Test
    fun `the log is followed on after unexpected errors`() {
        val replies = Replies(LogPage(entries = emptyList(), tailOffset = 0, earliestOffset = 1))
        val log = object : PlatformLog {
            override fun append(records: List<LogRecord>) = CompletableFuture.completedFuture(AppendResult.REFUSED)

            override fun read(fromOffset: Long, waitMillis: Long) = replies.next()
        }

        LogFollower(log, control, clock = { 0 }, timer = timer).start()

        replies.awaitRead() shouldBe true
    }

    @Test
    fun `the list of VMs is read on after unexpected errors`() {
        val replies = Replies(emptyList<VmRecord>())

        VmPoller(directory = { replies.next() }, control = control, timer = timer).start()

        replies.awaitRead() shouldBe true
    }

    // Guards against callers that wait for a reply of the control thread for ever.
    @Test
    fun `a query that meets an unexpected error fails`() {
        val result = control.query<Int> { _, _ -> error("a defect") }

        result.handle { _, failure -> failure != null }.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) shouldBe true
    }

    private companion object {
        const val TIMEOUT_SECONDS = 10L
    }
}
