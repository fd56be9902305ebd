package org.bulrushtack.daemon.front

/**
 * The resource for one method and path.
 *
 * @property path the path; one that ends in `/` matches every path below it
 */
internal data class Route(
    val method: String,
    val path: String,
    val resource: Resource,
) {
    /** Whether this route serves the path [requested]. */
    fun matches(requested: String): Boolean =
        if (path.endsWith("/")) requested.startsWith(path) else requested == path
}
