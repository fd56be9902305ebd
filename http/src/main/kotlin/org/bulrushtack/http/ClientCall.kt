package org.bulrushtack.http

/** A request that was sent. All functions may be called on any thread. */
public interface ClientCall {
    /** Breaks it off; its listener hears a failure. */
    public fun cancel()

    /** Stops or goes on reading the answer, so that what isn't read stays with the server. */
    public fun setReading(reading: Boolean)
}
