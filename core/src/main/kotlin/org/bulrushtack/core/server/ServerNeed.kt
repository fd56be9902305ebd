package org.bulrushtack.core.server

/**
 * What a server is chosen for.
 *
 * @property candidates the servers of the model or service
 * @property reservedTokens engine memory for prompt and whole answer; 0 for a call of a plain service
 * @property avoid servers that failed this request before; used only when nothing else is left
 */
public data class ServerNeed(
    val candidates: List<BackendServer>,
    val reservedTokens: Long,
    val avoid: Set<String> = emptySet(),
)
