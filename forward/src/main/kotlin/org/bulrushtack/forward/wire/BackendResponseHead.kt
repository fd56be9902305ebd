package org.bulrushtack.forward.wire

/**
 * The status and headers of a backend server's response, as this daemon interprets them.
 *
 * @property matchesAttempt whether the response carries the id of the attempt that was sent
 * @property isSigned whether the response carries the server's signature
 * @property isNotExecuted whether the server states that it did not execute the request
 * @property isMisdirected whether a server other than the expected one responds at the address
 * @property isLeaving whether the server says that it will shut down
 * @property faultyAddress the address of the engine that failed a request run on several engines, or null
 */
data class BackendResponseHead(
    val matchesAttempt: Boolean,
    val isSigned: Boolean,
    val isNotExecuted: Boolean,
    val isMisdirected: Boolean,
    val isLeaving: Boolean,
    val faultyAddress: String?,
)
