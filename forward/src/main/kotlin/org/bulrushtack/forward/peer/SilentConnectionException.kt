package org.bulrushtack.forward.peer

/** An open connection to a daemon over which nothing was received while a reply was due, although it had replied before. */
internal class SilentConnectionException(
    cause: Throwable,
) : Exception("the connection has fallen silent", cause)
