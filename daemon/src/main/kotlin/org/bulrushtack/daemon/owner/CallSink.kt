package org.bulrushtack.daemon.owner

import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallAnswer

/** Receives the outcome of one call at the owner; exactly one of its functions is called. */
interface CallSink {
    /** The service answered. */
    fun answered(answer: CallAnswer)

    /** The call failed or was refused. */
    fun failed(problem: Problem)
}
