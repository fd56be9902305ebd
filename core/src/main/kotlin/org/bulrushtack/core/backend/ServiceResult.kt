package org.bulrushtack.core.backend

import org.bulrushtack.core.log.CallAnswer

/** The result of a call of a plain service. */
public sealed interface ServiceResult {
    /** The service answered. */
    public data class Answered(
        val answer: CallAnswer,
        val incarnation: String?,
    ) : ServiceResult

    /** No byte of the call was sent. */
    public data class NotSent(
        val detail: String,
    ) : ServiceResult

    /** The call was sent, and no complete answer arrived. */
    public data class Lost(
        val detail: String,
    ) : ServiceResult
}
