package org.bulrushtack.core.dispatch

/**
 * A backend server's own list of the requests that it holds.
 *
 * @property incarnation changes with each start of the server
 * @property capacityTokens its memory, in tokens; 0 for a plain service
 */
public data class RunningList(
    val incarnation: String,
    val capacityTokens: Long,
    val leaving: Boolean,
    val requests: List<RunningRequest>,
) {
    /** One request that the server holds. */
    public data class RunningRequest(
        val id: String,
        val owner: String,
        val ownerIncarnation: String,
        val reservedTokens: Long,
    )
}
