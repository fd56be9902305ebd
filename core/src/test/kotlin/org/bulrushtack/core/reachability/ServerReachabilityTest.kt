package org.bulrushtack.core.reachability

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ServerReachabilityTest : AnnotationSpec() {
    private val testSubject = ServerReachability()

    private fun lose(vararg ids: String, serverCount: Int = 24, nowMillis: Long = 0) =
        ids.forEach { testSubject.recordLost(it, serverCount, nowMillis) }

    @Test
    fun `a server that is lost again and again says nothing about the others`() {
        lose("i-1", "i-1", "i-1", "i-2")

        testSubject.state shouldBe Reachability.REACHED
    }

    @Test
    fun `several lost servers raise a doubt, and failed probes confirm it`() {
        lose("i-1", "i-2", "i-3")
        testSubject.state shouldBe Reachability.DOUBTFUL

        testSubject.recordFailedProbes()

        testSubject.state shouldBe Reachability.CUT_OFF
    }

    @Test
    fun `a new connection ends the doubt and the cut`() {
        lose("i-1", "i-2", "i-3")
        testSubject.recordConnected()
        testSubject.state shouldBe Reachability.REACHED

        lose("i-4", "i-5")
        testSubject.state shouldBe Reachability.REACHED

        lose("i-6")
        testSubject.recordFailedProbes()
        testSubject.recordConnected()
        testSubject.state shouldBe Reachability.REACHED
    }

    @Test
    fun `servers that were lost long ago don't count`() {
        lose("i-1", "i-2", nowMillis = 0)
        lose("i-3", nowMillis = 5_000)

        testSubject.state shouldBe Reachability.REACHED
    }

    @Test
    fun `a few servers are doubtful when all of them are lost`() {
        lose("i-1", "i-2", serverCount = 2)

        testSubject.state shouldBe Reachability.DOUBTFUL
    }

    @Test
    fun `probes that fail without a doubt change nothing`() {
        testSubject.recordFailedProbes()

        testSubject.state shouldBe Reachability.REACHED
    }
}
