package org.bulrushtack.forward.testing

import org.bulrushtack.core.route.CallerLimits
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.route.WeightedService
import org.bulrushtack.core.route.Workspace

/** Creates small configurations. */
internal object FakeConfiguration {
    /** The one key that a configuration knows, of the workspace "dock". */
    const val KEY = "key-1"

    /** The host of all routes. */
    const val HOST = "operated"

    /** A configuration with one route for each of [paths], for which a key is needed. */
    fun of(vararg paths: String, version: Long = 1) = RoutingConfiguration(
        version = version,
        routes = paths.map { route(it) },
        services = emptyList(),
        limits = CallerLimits(),
        workspaces = listOf(Workspace(name = "dock", keys = listOf(KEY), priority = null)),
    )

    /** The table of such a configuration. */
    fun table(vararg paths: String) = RoutingTable(of(*paths))

    private fun route(path: String) = Route(
        name = path.trim('/'),
        host = HOST,
        pathPrefix = path,
        streamed = false,
        repeatability = Repeatability.SAFE,
        timeoutMillis = 5_000,
        objectiveMillis = 1_000,
        tokenGapMillis = null,
        priority = 1,
        split = listOf(WeightedService(service = "plain", weight = 1)),
        maximumSends = 2,
        open = false,
    )
}
