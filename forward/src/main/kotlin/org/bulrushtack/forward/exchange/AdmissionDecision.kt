package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.Workspace

/** What is done with a request as it arrives. */
internal sealed interface AdmissionDecision {
    /** The request goes to a service of [route], for [workspace] if it has the key of one. */
    data class Admitted(
        val route: Route,
        val workspace: Workspace?,
    ) : AdmissionDecision

    /** The request is refused with an error of the given [kind]. */
    data class Refused(
        val kind: ErrorKind,
    ) : AdmissionDecision {
        /** Whether the daemon could decide otherwise once it knows the newest configuration. */
        val isForWantOfKnowledge: Boolean
            get() = kind == ErrorKind.NOT_READY || kind == ErrorKind.CONFIGURATION_OUTDATED
    }
}
