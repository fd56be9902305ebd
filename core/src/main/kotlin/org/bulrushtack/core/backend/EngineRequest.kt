package org.bulrushtack.core.backend

/**
 * A completion request to a model engine.
 *
 * @property resumeFrom the number of tokens that are already known; the engine continues after them
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
