package org.bulrushtack.daemon.owner

import org.bulrushtack.core.dispatch.WorkResult

/** Hears how one dispatch goes. */
internal interface WorkObserver {
    /** The backend server took it and named its [incarnation]. */
    fun acknowledged(incarnation: String)

    /** It ended. */
    fun ended(ending: WorkResult)
}
