package org.bulrushtack.standin

/**
 * The addresses a stand-in listens on.
 *
 * @property port the port of its service; 0 for any free one
 * @property controlPort the port of its control interface; 0 for any free one
 */
data class ListenOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val controlPort: Int = 0,
)
