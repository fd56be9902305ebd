package org.bulrushtack.core.backend

import org.bulrushtack.core.log.CallAnswer

/** How a call of a plain service ended. */
public sealed interface ServiceResult {
    /** The service answered. */
    public data class Answered(
        val answer: CallAnswer,
        val incarnation: String?,
    ) : ServiceResult

    /** No byte was sent. */
    public data class NotSent(
        val detail: String,
    ) : ServiceResult

    /** It was sent, and no whole answer came. */
    public data class Lost(
        val detail: String,
    ) : ServiceResult
}
