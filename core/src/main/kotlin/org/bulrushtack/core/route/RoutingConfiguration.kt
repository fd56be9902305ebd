package org.bulrushtack.core.route

/**
 * One version of the operators' configuration.
 *
 * @property workspaces the workspaces, or null if no request needs a key
 * @property problems the values that can't be used; what they concern is not done, all else is
 */
public data class RoutingConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: List<ServiceProfile>,
    val limits: CallerLimits,
    val workspaces: List<Workspace>?,
    val problems: List<String> = emptyList(),
)
