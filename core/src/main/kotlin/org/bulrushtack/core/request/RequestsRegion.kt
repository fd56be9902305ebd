package org.bulrushtack.core.request

/** The part of the blackboard that holds the completions this daemon took. Written by [CompletionController]. */
public class RequestsRegion {
    /** Completions that have not ended, by identifier. */
    public val active: LinkedHashMap<String, ActiveRequest> = LinkedHashMap()

    /** Attempts that this daemon has under way, by backend server. */
    public val underWay: MutableMap<String, Int> = HashMap()

    /** Active completions by workspace. */
    public val byWorkspace: MutableMap<String, Int> = HashMap()
}
