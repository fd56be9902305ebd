package org.bulrushtack.daemon.owner

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.error.Problem

/** Work that is queued at the owner or runs on its backend server. */
internal interface OwnedWork {
    /** Sends the work to the backend server; called on the control thread. */
    fun start(action: Action.StartWork)

    /** Fails the work with [problem] before it is sent. */
    fun refuse(problem: Problem)

    /** Cancels the work, since its requester no longer waits for it. */
    fun withdraw()
}
