package org.bulrushtack.forward.peer

/** Nothing was received over an open connection while a reply was due, although it had carried replies before. */
internal class SilentConnectionException(
    cause: Throwable,
) : Exception("the connection has fallen silent", cause)
