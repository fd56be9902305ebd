package org.bulrushtack.core.route

/**
 * What the configuration says of one service.
 *
 * @property healthPath the path of its health check
 * @property maximumConnections the most connections that one backend server accepts
 * @property coldPerSecond the requests a second that a cold backend server bears; 0 when it has no cold phase
 * @property engine the engines' figures, or null for a plain service
 */
public data class ServiceProfile(
    val name: String,
    val healthPath: String,
    val maximumConnections: Int,
    val coldPerSecond: Double,
    val engine: EngineProfile?,
)
