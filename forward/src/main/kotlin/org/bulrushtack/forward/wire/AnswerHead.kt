package org.bulrushtack.forward.wire

/**
 * What the headers of a backend server's answer say.
 *
 * @property belongs whether the answer names the attempt that it was asked for
 * @property signed whether it bears the server's signature
 * @property notRun whether the server says that it did not run the request
 * @property misdirected whether another server than the expected one answers at the address
 * @property faultyAddress the address of the engine that made a joint request fail, or null
 */
data class AnswerHead(
    val belongs: Boolean,
    val signed: Boolean,
    val notRun: Boolean,
    val misdirected: Boolean,
    val faultyAddress: String?,
)
