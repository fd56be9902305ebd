package org.bulrushtack.daemon.owner

import org.bulrushtack.core.dispatch.WorkResult

/** Receives the progress of one dispatch. */
internal interface WorkObserver {
    /** The backend server accepted the dispatch and reported its [incarnation]. */
    fun acknowledged(incarnation: String)

    /** The dispatch finished with [result]. */
    fun finished(result: WorkResult)
}
