package org.bulrushtack.core.backend

/** Sends completions to model engines. */
public fun interface EngineClient {
    /** Starts a completion on the engine at [address]. */
    public fun start(address: String, request: EngineRequest, listener: EngineListener): BackendCall
}
