package org.bulrushtack.http.budget

/** Serves one connection, and ends what it does there when the budget needs it. Called on the connection's thread. */
internal interface ConnectionOwner {
    /** Whether a request has begun and has not been read completely, so that it can be refused as not run. */
    val isArriving: Boolean

    /** Whether a whole request is being answered. */
    val isWorking: Boolean

    /** Refuses the request that has begun; [isLate] if its client was too slow, else for lack of memory. */
    fun refuse(isLate: Boolean)

    /** Closes the connection at once. */
    fun close()

    /** Reads on after a pause. */
    fun resume()
}
