package org.bulrushtack.core.route

/** Looks up routes, services and workspaces in one [configuration]. */
public class RoutingTable(
    public val configuration: RoutingConfiguration,
) {
    private val services = configuration.services.associateBy { it.name }
    private val routes = configuration.routes
        .groupBy { it.host }
        .mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }
    private val workspaces = configuration.workspaces.orEmpty()
        .flatMap { workspace -> workspace.keys.map { it to workspace } }
        .toMap()

    private val rankedServices = configuration.routes
        .flatMap { route -> route.split.map { it.service to route.priority } }
        .groupBy({ it.first }, { it.second })
        .filterValues { it.toSet().size > 1 }
        .keys

    /** Whether requests of routes that are not open need a workspace key. */
    public val needsKey: Boolean = configuration.workspaces != null

    /** The route of [host] with the longest path prefix that matches [path], or null. */
    public fun route(host: String, path: String): Route? {
        val prefixes = routes[host.substringBefore(':').lowercase()] ?: return null
        return generateSequence(path.lastIndexOf('/')) { end -> path.lastIndexOf('/', startIndex = end - 1) }
            .takeWhile { it >= 0 }
            .firstNotNullOfOrNull { prefixes[path.substring(0, it + 1)] }
    }

    /** The profile of the service called [name], or null. */
    public fun service(name: String): ServiceProfile? = services[name]

    /** Whether the operators rank the requests for [service] by giving its routes different priorities. */
    public fun ranksRequests(service: String): Boolean = service in rankedServices

    /** The workspace to which [key] belongs, or null. */
    public fun workspace(key: String): Workspace? = workspaces[key]
}
