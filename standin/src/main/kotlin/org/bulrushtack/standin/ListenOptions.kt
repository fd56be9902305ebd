package org.bulrushtack.standin

/**
 * Where a stand-in listens.
 *
 * @property port the port of its service; 0 for any free one
 * @property controlPort the port on which faults are switched
 */
data class ListenOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val controlPort: Int = 0,
)
