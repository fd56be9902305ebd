package org.bulrushtack.core.scaling

/**
 * The load of a service, from which the number of its servers follows.
 *
 * @property recent the work that arrived in the last seconds, in engines
 * @property usual the work that arrived over a time longer than a burst, in engines
 * @property waitingMillis the engine milliseconds that wait for a placement now
 */
public data class LoadView(
    val recent: EngineWork,
    val usual: EngineWork,
    val waitingMillis: Double,
)
