package org.bulrushtack.core.route

/**
 * A workspace and the keys that its callers use.
 *
 * @property priority a rank that goes before the route's, or null
 */
public data class Workspace(
    val name: String,
    val keys: List<String>,
    val priority: Int?,
)
