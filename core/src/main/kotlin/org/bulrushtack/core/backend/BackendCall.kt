package org.bulrushtack.core.backend

/** A request in flight to a backend server. */
public interface BackendCall {
    /** Closes the connection. */
    public fun cancel()

    /** Pauses or resumes reading from the connection, as back-pressure on the backend server. */
    public fun setReading(reading: Boolean)
}
