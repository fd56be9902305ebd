package org.bulrushtack.forward

/**
 * Limits for what clients may take up of a process; 0 stands for one that is worked out from the VM.
 *
 * @property heldBytes the most bytes that are held for connections, bodies included
 * @property connections the most sockets
 * @property stallMillis how long a client may take nothing of a response that waits for it
 * @property slowBytesPerSecond connections that send or take less give way first when sockets are short
 */
data class ClientLimits(
    val heldBytes: Long = 0,
    val connections: Long = 0,
    val stallMillis: Long = DEFAULT_STALL_MILLIS,
    val slowBytesPerSecond: Long = DEFAULT_SLOW_BYTES,
)

private const val DEFAULT_STALL_MILLIS = 30_000L
private const val DEFAULT_SLOW_BYTES = 4_096L
