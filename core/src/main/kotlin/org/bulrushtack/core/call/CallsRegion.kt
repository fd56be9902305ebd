package org.bulrushtack.core.call

import org.bulrushtack.core.log.CallKey

/** The part of the blackboard that holds the service calls this daemon took. Written by [CallController]. */
public class CallsRegion {
    /** Calls that have not ended, by request identifier. */
    public val active: LinkedHashMap<String, ActiveCall> = LinkedHashMap()

    /** Claims that were given up before dispatch and may still reach the log, by record identifier. */
    public val abandoned: LinkedHashMap<String, CallKey> = LinkedHashMap()
}
