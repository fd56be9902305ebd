package org.bulrushtack.bench.control

/** The size of the system in which one daemon's control loop is measured. */
internal data class SystemSize(
    val daemons: Int,
    val servers: Int,
    val workspaces: Int,
    val claims: Int,
)
