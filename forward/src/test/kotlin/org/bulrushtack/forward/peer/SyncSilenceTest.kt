package org.bulrushtack.forward.peer

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.forward.testing.FakeTime

class SyncSilenceTest : AnnotationSpec() {
    private val time = FakeTime()
    private var asked = 0
    private var unheard = 0
    private val testSubject = SyncSilence(time.thread, onSilence = { asked += 1 })
        .also { it.onLastingSilence = { unheard += 1 } }

    override fun isolationMode() = IsolationMode.InstancePerTest

    @Test
    fun `others are asked before the syncs reach their limit, and then nobody counts as heard`() {
        testSubject.watch()

        time.advance(PATIENCE_MILLIS - 1)
        asked shouldBe 0
        time.advance(1)
        asked shouldBe 1
        unheard shouldBe 0
        time.advance(PATIENCE_MILLIS)
        asked shouldBe 1
        unheard shouldBe 1
    }

    @Test
    fun `a reply in time leads to nothing`() {
        testSubject.watch()
        time.advance(PATIENCE_MILLIS - 1)

        testSubject.recordReply()

        time.advance(LONG_MILLIS)
        asked + unheard shouldBe 0
    }

    @Test
    fun `a reply of one of the others is enough`() {
        testSubject.watch()
        time.advance(PATIENCE_MILLIS)

        testSubject.recordReply()

        time.advance(LONG_MILLIS)
        unheard shouldBe 0
    }

    // Guards against a process that takes itself for cut off when it runs again after a pause.
    @Test
    fun `a process that was held up reads the replies that have arrived before it counts as unheard`() {
        testSubject.watch()

        time.jump(LONG_MILLIS)
        testSubject.recordReply()

        time.advance(LONG_MILLIS)
        unheard shouldBe 0
    }

    private companion object {
        const val PATIENCE_MILLIS = 150L
        const val LONG_MILLIS = 1_000L
    }
}
