package org.bulrushtack.core.error

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldMatch

class ErrorKindTest : AnnotationSpec() {
    @Test
    fun `every kind has a unique code that maps back to it`() {
        ErrorKind.entries.map { it.code }.shouldBeUnique()
        ErrorKind.entries.forEach { kind ->
            kind.code shouldMatch Regex("[a-z]+(-[a-z]+)*")
            ErrorKind.fromCode(kind.code) shouldBe kind
        }
    }

    @Test
    fun `every kind has an error status and a sentence`() {
        ErrorKind.entries.forEach { kind ->
            (kind.status in 400..599) shouldBe true
            kind.text shouldEndWith "."
        }
    }

    @Test
    fun `only kinds raised before any byte can reach a backend server state that nothing ran`() {
        val afterDispatch = setOf(
            ErrorKind.KEY_EXPIRED,
            ErrorKind.CALL_UNDECIDED,
            ErrorKind.ANSWER_NOT_KEPT,
            ErrorKind.DEADLINE_EXCEEDED,
            ErrorKind.BACKEND_LOST,
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.EDIT_UNCONFIRMED,
            ErrorKind.INTERNAL,
        )

        ErrorKind.entries.filter { it.runState != RunState.NO }.toSet() shouldBe afterDispatch
    }

    @Test
    fun `a kind whose outcome is unknown never advises a plain retry of a call`() {
        ErrorKind.entries
            .filter { it.runState == RunState.UNKNOWN && it != ErrorKind.EDIT_UNCONFIRMED }
            .forEach { kind -> kind.retryAdvice shouldBeIn listOf(RetryAdvice.SAME_KEY, RetryAdvice.NEVER) }
    }

    @Test
    fun `an unknown code maps to an internal error with an unknown outcome`() {
        ErrorKind.fromCode("from-a-later-version") shouldBe ErrorKind.INTERNAL
    }
}
