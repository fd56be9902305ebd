package org.bulrushtack.core.backend

/**
 * A completion for a model engine.
 *
 * @property resumeFrom how many tokens of the answer are known already; the engine goes on after them
 * @property priority 0 for the most urgent
 */
public data class EngineRequest(
    public val context: BackendRequestContext,
    public val model: String,
    public val prompt: ByteArray,
    public val promptTokens: Long,
    public val maximumTokens: Long,
    public val resumeFrom: Long,
    public val priority: Int,
)
