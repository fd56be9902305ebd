package org.bulrushtack.forward.wire

import org.bulrushtack.http.HttpHeaderList

/** Writes the calls to the platform's duty address and reads the platform's names of duties. */
interface DutyCodec {
    /** Whether one of [names] asks for reports of the usage of each workspace. */
    fun reportsUsage(names: Set<String>): Boolean

    /** Whether one of [names] asks for orders of the number of backend servers. */
    fun ordersServers(names: Set<String>): Boolean

    /** The report of the requests that began to run in [window], by workspace. */
    fun usage(window: Long, counts: Map<String, Long>): DutyCall

    /** The order of [desired] backend servers of [service] in [dataCentre]. */
    fun scale(service: String, dataCentre: String, desired: Int): DutyCall

    /** The headers that name the holder and carry its fencing [token]. */
    fun headers(holder: String, token: Long): List<HttpHeaderList.Header>
}
