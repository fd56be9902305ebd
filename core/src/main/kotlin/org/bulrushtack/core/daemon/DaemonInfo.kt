package org.bulrushtack.core.daemon

/**
 * A forwarding daemon as it describes itself to its peers.
 *
 * @property incarnation changes at each start of the process
 * @property peerAddress host and port for other daemons
 * @property frontAddress host and port for callers
 * @property rank the offset of its record in the platform's store, or null while it has none
 * @property ready whether it serves callers
 * @property leaving whether it is shutting down
 * @property dutyToken the fencing token of the duties that it holds, or null while it holds none
 * @property capacity the processor share of its VM in thousandths of a core; 0 while unknown
 * @property linkCapacity the data rate of its VM's link in kilobits a second; 0 while unknown
 * @property pressure the part of its capacity that it lacks at present, in per cent and in a few steps
 * @property reachesServers whether it reaches any backend server, as far as it has tried
 * @property storeUnreadable whether it can't read the platform's store at present
 * @property revision incremented at each change to this description within an incarnation
 */
public data class DaemonInfo(
    val name: String,
    val incarnation: String,
    val dataCentre: String,
    val peerAddress: String,
    val frontAddress: String,
    val rank: Long?,
    val ready: Boolean,
    val leaving: Boolean,
    val revision: Long = 0,
    val dutyToken: Long? = null,
    val capacity: Long = 0,
    val linkCapacity: Long = 0,
    val pressure: Long = 0,
    val reachesServers: Boolean = true,
    val storeUnreadable: Boolean = false,
)
