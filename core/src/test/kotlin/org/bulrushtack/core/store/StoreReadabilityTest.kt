package org.bulrushtack.core.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class StoreReadabilityTest : AnnotationSpec() {
    private lateinit var testSubject: StoreReadability

    @Before
    fun create() {
        testSubject = StoreReadability()
    }

    private fun send(nowMillis: Long, vararg topics: StoreTopic) =
        topics.forEach { testSubject.recordSent(it, nowMillis) }

    @Test
    fun `a daemon that never polls or whose polls succeed can read the store`() {
        testSubject.review(nowMillis = 60_000)
        testSubject.isUnreadable shouldBe false

        send(nowMillis = 60_000, StoreTopic.OPERATOR)
        testSubject.recordSuccess(StoreTopic.OPERATOR, nowMillis = 60_010)
        testSubject.review(nowMillis = 61_000)
        testSubject.isUnreadable shouldBe false
    }

    @Test
    fun `a poll that fails makes the store unreadable until one succeeds`() {
        send(nowMillis = 0, StoreTopic.OPERATOR)
        testSubject.recordFailure(StoreTopic.OPERATOR, nowMillis = 4)
        testSubject.isUnreadable shouldBe true

        send(nowMillis = 500, StoreTopic.BACKEND_SERVERS)
        testSubject.isUnreadable shouldBe true
        testSubject.recordSuccess(StoreTopic.BACKEND_SERVERS, nowMillis = 504)
        testSubject.isUnreadable shouldBe false
    }

    @Test
    fun `a poll without a reply makes the store unreadable after 400 ms`() {
        send(nowMillis = 0, StoreTopic.OPERATOR)
        send(nowMillis = 300, StoreTopic.CRASHES)
        testSubject.review(nowMillis = 399)
        testSubject.isUnreadable shouldBe false

        testSubject.review(nowMillis = 400)
        testSubject.isUnreadable shouldBe true
    }

    // Guards against a slow store from which the reader changes with each poll.
    @Test
    fun `polls may take as long as the last one`() {
        send(nowMillis = 0, StoreTopic.OPERATOR)
        testSubject.review(nowMillis = 400)
        testSubject.recordSuccess(StoreTopic.OPERATOR, nowMillis = 700)
        testSubject.isUnreadable shouldBe false

        send(nowMillis = 800, StoreTopic.OPERATOR)
        testSubject.review(nowMillis = 800 + 700)
        testSubject.isUnreadable shouldBe false
        testSubject.recordSuccess(StoreTopic.OPERATOR, nowMillis = 1_510)

        send(nowMillis = 2_000, StoreTopic.OPERATOR)
        testSubject.recordSuccess(StoreTopic.OPERATOR, nowMillis = 2_010)
        testSubject.silenceMillis shouldBe 400
    }

    // Guards against one topic that can't be read and keeps all daemons from reading the others.
    @Test
    fun `one topic that can't be read says nothing about the store, in whichever order the replies come`() {
        send(nowMillis = 0, StoreTopic.OPERATOR, StoreTopic.BACKEND_SERVERS)
        testSubject.recordFailure(StoreTopic.OPERATOR, nowMillis = 4)
        testSubject.isUnreadable shouldBe false
        testSubject.recordSuccess(StoreTopic.BACKEND_SERVERS, nowMillis = 5)

        send(nowMillis = 500, StoreTopic.OPERATOR)
        testSubject.recordFailure(StoreTopic.OPERATOR, nowMillis = 504)
        testSubject.isUnreadable shouldBe false

        send(nowMillis = 1_000, StoreTopic.OPERATOR, StoreTopic.CRASHES)
        testSubject.recordSuccess(StoreTopic.CRASHES, nowMillis = 1_004)
        testSubject.recordFailure(StoreTopic.OPERATOR, nowMillis = 1_005)
        testSubject.isUnreadable shouldBe false

        send(nowMillis = 1_500, StoreTopic.BACKEND_SERVERS)
        testSubject.recordFailure(StoreTopic.BACKEND_SERVERS, nowMillis = 1_504)
        testSubject.isUnreadable shouldBe true
    }
}
