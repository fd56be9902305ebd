package org.bulrushtack.core.placement

/**
 * What one placement reserves on one engine.
 *
 * @property ingressDaemon the daemon that sent the request
 * @property decodes whether the answer is decoded on this engine
 * @property memoryTokens the memory that it holds on this engine
 * @property contextTokens the context that each step of its answer covers on this engine
 * @property prefillMillis the prefill time of its part on this engine
 * @property tokenGapMillis the target for the time between two events of its answer
 * @property placedAtMillis the steady time of the decision
 * @property assumedSlowness the slowness of the engine with which the time to first token was predicted
 * @property answerTokens the expected length of its answer, or 0 where it is not known
 */
public data class EngineAllocation(
    val placementId: String,
    val ingressDaemon: String,
    val serverId: String,
    val decodes: Boolean,
    val memoryTokens: Long,
    val contextTokens: Long,
    val prefillMillis: Double,
    val tokenGapMillis: Long,
    val placedAtMillis: Long,
    val assumedSlowness: Double = 1.0,
    val answerTokens: Long = 0,
)
