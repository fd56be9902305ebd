package org.bulrushtack.forward.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.forward.testing.FakeDaemon

/** Guards against early refusals by a daemon that has not heard of the placements of others. */
class PlacementKnowledgeTest : AnnotationSpec() {
    private fun info(name: String, rank: Long) =
        DaemonInfo(name, "life", "a", "$name:7340", "$name:80", rank, ready = true, leaving = false)

    private fun knowledge(daemons: DaemonTable = DaemonTable(info("vm-2", rank = 2))) =
        PlacementKnowledge(FakeDaemon.state(daemons))

    @Test
    fun `a placement leader that has just started does not know all placements`() {
        val testSubject = knowledge()
        testSubject.tick(nowMillis = 0)

        testSubject.isComplete(nowMillis = 1_500) shouldBe false
        testSubject.isComplete(nowMillis = 2_500) shouldBe true
    }

    @Test
    fun `a daemon that becomes placement leader learns the placements of others first`() {
        val daemons = DaemonTable(info("vm-2", rank = 2))
        val testSubject = knowledge(daemons)
        daemons.observe(info("vm-1", rank = 1), atMillis = 9_000, direct = true)
        testSubject.tick(nowMillis = 10_000)
        testSubject.isComplete(nowMillis = 10_000) shouldBe false

        testSubject.tick(nowMillis = 11_000)

        testSubject.isLeader shouldBe true
        testSubject.isComplete(nowMillis = 11_500) shouldBe false
        testSubject.isComplete(nowMillis = 12_200) shouldBe true
    }
}
