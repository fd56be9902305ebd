package org.bulrushtack.core.route

/**
 * A workspace and the keys with which its callers authenticate.
 *
 * @property priority overrides the route's priority, or null
 */
public data class Workspace(
    val name: String,
    val keys: List<String>,
    val priority: Int?,
)
