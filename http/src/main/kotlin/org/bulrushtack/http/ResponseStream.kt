package org.bulrushtack.http

/** An answer that is sent in parts, from any thread. */
public interface ResponseStream {
    /** Whether the client has read enough for more to be written. */
    public val isWritable: Boolean

    /** Bytes that were written and not yet taken by the network. */
    public val pendingBytes: Long

    /** Sends [bytes]. */
    public fun write(bytes: ByteArray)

    /** Registers [listener] for each time that [isWritable] becomes true. */
    public fun onWritable(listener: () -> Unit)

    /** Ends the answer. */
    public fun end()

    /** Breaks the connection off, so that the client sees that the answer isn't whole. */
    public fun abort()
}
