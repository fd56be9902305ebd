package org.bulrushtack.forward.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.bulrushtack.forward.testing.FakeDaemon

class FallbackPeersTest : AnnotationSpec() {
    private val order = (2..8).map { FakeDaemon.info(it) }

    private fun numbers(testSubject: FallbackPeers, self: Int, count: Int) =
        testSubject.next(order, FakeDaemon.info(self), count).map { it.rank?.toInt() }

    // Guards against daemons that are never asked, since the first ones in rank are always chosen.
    @Test
    fun `the choices go round all other daemons, beginning with the next one in rank`() {
        val testSubject = FallbackPeers()

        val chosen = List(3) { numbers(testSubject, self = 7, count = 2) }

        chosen.first() shouldBe listOf(8, 2)
        chosen.flatten() shouldContainExactlyInAnyOrder listOf(2, 3, 4, 5, 6, 8)
    }

    @Test
    fun `a daemon outside of the order begins with the first one`() {
        numbers(FallbackPeers(), self = 1, count = 3) shouldBe listOf(2, 3, 4)
    }

    @Test
    fun `no daemon is chosen twice at a time`() {
        numbers(FallbackPeers(), self = 3, count = 20).sortedBy { it } shouldBe listOf(2, 4, 5, 6, 7, 8)
        FallbackPeers().next(listOf(FakeDaemon.info(3)), FakeDaemon.info(3), count = 3).shouldBeEmpty()
    }
}
