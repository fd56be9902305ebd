package org.bulrushtack.core.server

/** Chooses the backend server for an attempt. */
public fun interface ServerChoice {
    /** One of the candidates of [need], or null when none may take it now. */
    public fun choose(need: ServerNeed, nowMillis: Long): BackendServer?
}
