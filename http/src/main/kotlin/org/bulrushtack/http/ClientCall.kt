package org.bulrushtack.http

/** A request in flight. All functions may be called on any thread. */
public interface ClientCall {
    /** Whether any byte of the request may have left this process; false while the connection is being opened. */
    public val isSent: Boolean

    /** Cancels the request; its listener gets a failure. */
    public fun cancel()

    /** Pauses or resumes reading the response, as back-pressure on the server. */
    public fun setReading(reading: Boolean)
}
