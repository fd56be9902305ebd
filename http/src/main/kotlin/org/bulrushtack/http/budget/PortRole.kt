package org.bulrushtack.http.budget

/**
 * What a port of a process serves.
 *
 * @property socketPercent the most connections to it, in percent of the process's sockets
 * @property usesReserve whether the port takes connections from the sockets that the others leave
 * @property keepsIdle whether clients may keep a connection between requests as long as the configuration says
 */
public enum class PortRole(
    internal val socketPercent: Int,
    internal val usesReserve: Boolean,
    internal val keepsIdle: Boolean,
) {
    CALLERS(socketPercent = 50, usesReserve = false, keepsIdle = true),
    DIRECTORY(socketPercent = 20, usesReserve = false, keepsIdle = true),
    READINESS(socketPercent = 5, usesReserve = true, keepsIdle = false),
    METRICS(socketPercent = 5, usesReserve = false, keepsIdle = false),
    DAEMONS(socketPercent = 15, usesReserve = true, keepsIdle = true),
}
