package org.bulrushtack.core.server

/**
 * What [ServerSelector] needs to know about a request.
 *
 * @property candidates the servers of the model or service
 * @property reservedTokens engine memory for the prompt and the whole completion; 0 for a call of a plain service
 * @property avoid servers on which this request failed before; selected only when no other candidate is left
 */
public data class ServerSelectionCriteria(
    val candidates: List<BackendServer>,
    val reservedTokens: Long,
    val avoid: Set<String> = emptySet(),
)
