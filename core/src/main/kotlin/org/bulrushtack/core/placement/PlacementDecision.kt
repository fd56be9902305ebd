package org.bulrushtack.core.placement

import org.bulrushtack.core.admission.RefusalReason
import org.bulrushtack.core.error.ErrorKind

/** The scheduler's decision on a placement request. */
public sealed interface PlacementDecision {
    /** The id of the request. */
    public val id: String

    /** The request has a placement. */
    public data class Placed(val placement: Placement, val waitedMillis: Long) : PlacementDecision {
        override val id: String get() = placement.id
    }

    /** The request is queued; another decision follows. */
    public data class Waiting(override val id: String) : PlacementDecision

    /** The request gets no placement. */
    public data class Refused(
        override val id: String,
        val kind: ErrorKind,
        val retryAfterMillis: Long,
        val reason: RefusalReason = RefusalReason.WAIT_OVER,
    ) : PlacementDecision
}
