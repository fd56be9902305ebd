package org.bulrushtack.core.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class QueuePolicyTest : AnnotationSpec() {
    private fun work(name: String, atMillis: Long, expectedMillis: Long) =
        Work(WorkId(name, 1), "engine", "dock", 1_000, expectedMillis, atMillis, deadlineAtMillis = 600_000)

    private val long = work("long", atMillis = 0, expectedMillis = 5_000)
    private val short = work("short", atMillis = 1_000, expectedMillis = 100)
    private val lateShort = work("late", atMillis = 21_000, expectedMillis = 100)

    @Test
    fun `short work goes ahead of long work until the long work has aged`() {
        val testSubject = ExpectedWorkQueuePolicy(ageingFactor = 4)

        listOf(long, short, lateShort).sortedBy { testSubject.rank(it) } shouldBe listOf(short, long, lateShort)
    }

    @Test
    fun `first come, first served keeps the order of arrival`() {
        val testSubject = FirstComeFirstServedQueuePolicy()

        listOf(lateShort, short, long).sortedBy { testSubject.rank(it) } shouldBe listOf(long, short, lateShort)
    }
}
