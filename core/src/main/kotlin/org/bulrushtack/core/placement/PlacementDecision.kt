package org.bulrushtack.core.placement

import org.bulrushtack.core.error.ErrorKind

/** What became of a request for a place. */
public sealed interface PlacementDecision {
    /** The id of the request. */
    public val id: String

    /** It has a place. */
    public data class Placed(val placement: Placement, val waitedMillis: Long) : PlacementDecision {
        override val id: String get() = placement.id
    }

    /** It waits; another decision follows. */
    public data class Waiting(override val id: String) : PlacementDecision

    /** It gets no place. */
    public data class Refused(
        override val id: String,
        val kind: ErrorKind,
        val retryAfterMillis: Long,
    ) : PlacementDecision
}
