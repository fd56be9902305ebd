package org.bulrushtack.http

/** A response that is sent in parts; may be used from any thread. */
public interface ResponseStream {
    /** Whether the client has read enough for more to be written. */
    public val isWritable: Boolean

    /** Bytes that were written and not yet sent to the network. */
    public val pendingBytes: Long

    /** Sends [bytes]. */
    public fun write(bytes: ByteArray)

    /** Calls [listener] each time [isWritable] becomes true. */
    public fun onWritable(listener: () -> Unit)

    /** Completes the response. */
    public fun end()

    /** Closes the connection without completing the response, so that the client detects the truncation. */
    public fun abort()
}
