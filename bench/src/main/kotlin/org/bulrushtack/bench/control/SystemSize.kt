package org.bulrushtack.bench.control

/** How large the system is that one daemon's control loop is measured in. */
internal data class SystemSize(
    val daemons: Int,
    val servers: Int,
    val workspaces: Int,
    val claims: Int,
)
