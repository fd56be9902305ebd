package org.bulrushtack.core.server

/** Selects the backend server for an attempt. */
public fun interface ServerSelector {
    /** Returns one of the candidates of [criteria], or null when none can accept the request now. */
    public fun select(criteria: ServerSelectionCriteria, nowMillis: Long): BackendServer?
}
