package org.bulrushtack.core.backend

/** A dispatch under way. */
public interface BackendCall {
    /** Breaks the connection off. */
    public fun cancel()

    /** Stops or goes on reading, so that what isn't read stays with the backend server. */
    public fun setReading(reading: Boolean)
}
