package org.bulrushtack.core.route

/**
 * The configuration of one service.
 *
 * @property healthPath the path of its health check
 * @property maximumConnections the maximum number of connections that one backend server accepts
 * @property coldPerSecond the requests a second that a cold backend server can handle; 0 if it has no cold phase
 * @property engine the profile of the model engines, or null for a plain service
 * @property scale the limits for the number of its servers, or null if the number is not ordered from here
 */
public data class ServiceProfile(
    val name: String,
    val healthPath: String,
    val maximumConnections: Int,
    val coldPerSecond: Double,
    val engine: EngineProfile?,
    val scale: ScaleLimits? = null,
)
