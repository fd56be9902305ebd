package org.bulrushtack.daemon.owner

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.error.Problem

/** Work that waits at the owner or runs on its backend server. */
internal interface OwnedWork {
    /** Sends it to the backend server; runs on the control thread. */
    fun start(action: Action.StartWork)

    /** Ends it before it was sent. */
    fun refuse(problem: Problem)

    /** Breaks it off, since nobody waits for it any more. */
    fun withdraw()
}
