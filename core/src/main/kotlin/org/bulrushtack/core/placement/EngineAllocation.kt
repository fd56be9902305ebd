package org.bulrushtack.core.placement

/**
 * What one placement costs one engine.
 *
 * @property placementId the placement's id
 * @property taker the daemon that sent it
 * @property writes whether the answer is written here
 * @property memoryTokens memory that it holds here
 * @property contextTokens the context that each step of its answer covers here
 * @property readMillis the time that reading its part takes here
 * @property pauseMillis the longest pause between two events that its answer bears
 * @property placedAtMillis the steady time of the decision
 */
public data class EngineAllocation(
    val placementId: String,
    val taker: String,
    val serverId: String,
    val writes: Boolean,
    val memoryTokens: Long,
    val contextTokens: Long,
    val readMillis: Double,
    val pauseMillis: Long,
    val placedAtMillis: Long,
)
