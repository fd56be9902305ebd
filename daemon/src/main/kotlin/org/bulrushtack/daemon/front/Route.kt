package org.bulrushtack.daemon.front

/**
 * A path and method with their resource.
 *
 * @property path the path; one that ends in `/` stands for all below it
 */
internal data class Route(
    val method: String,
    val path: String,
    val resource: Resource,
) {
    /** Whether [requested] leads here. */
    fun matches(requested: String): Boolean =
        if (path.endsWith("/")) requested.startsWith(path) else requested == path
}
