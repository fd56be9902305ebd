package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.error.Problem

/** Records what a session writes to its caller. */
internal class FakeCompletionWriter : CompletionWriter {
    var text = ""
    var finished = false
    val problems = mutableListOf<Problem>()

    override var isReady = true

    override fun onReady(listener: () -> Unit) = Unit

    override fun chunk(offset: Long, tokens: Long, text: String) {
        this.text += text
    }

    override fun finish(totalTokens: Long, reason: String) {
        finished = true
    }

    override fun fail(problem: Problem) {
        problems.add(problem)
    }
}
