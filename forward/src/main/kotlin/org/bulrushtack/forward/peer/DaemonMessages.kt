package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonSetDelta
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.protocol.DaemonRecord
import org.bulrushtack.protocol.SyncReply

/** Converts what daemons report about themselves and one another to and from the daemon's own types. */
internal object DaemonMessages {
    fun toWire(daemon: DaemonInfo, ageMillis: Long): DaemonRecord = DaemonRecord.newBuilder()
        .setName(daemon.name)
        .setIncarnation(daemon.incarnation)
        .setDataCentre(daemon.dataCentre)
        .setPeerAddress(daemon.peerAddress)
        .setFrontAddress(daemon.frontAddress)
        .setRank(daemon.rank ?: NO_RANK)
        .setReady(daemon.ready)
        .setLeaving(daemon.leaving)
        .setAgeMillis(ageMillis)
        .setRevision(daemon.revision)
        .setDutyToken(daemon.dutyToken ?: NO_DUTIES)
        .setCapacity(daemon.capacity)
        .setLinkCapacity(daemon.linkCapacity)
        .setPressure(daemon.pressure)
        .setServersUnreachable(!daemon.reachesServers)
        .setStoreUnreadable(daemon.storeUnreadable)
        .build()

    /** The daemon that [record] describes; null if no other daemon could reach it. */
    fun fromWire(record: DaemonRecord): DaemonInfo? = if (HostAndPort.parse(record.peerAddress) == null) {
        null
    } else {
        DaemonInfo(
            name = record.name,
            incarnation = record.incarnation,
            dataCentre = record.dataCentre,
            peerAddress = record.peerAddress,
            frontAddress = record.frontAddress,
            rank = record.rank.takeIf { it != NO_RANK },
            ready = record.ready,
            leaving = record.leaving,
            revision = record.revision,
            dutyToken = record.dutyToken.takeIf { it != NO_DUTIES },
            capacity = record.capacity,
            linkCapacity = record.linkCapacity,
            pressure = record.pressure,
            reachesServers = !record.serversUnreachable,
            storeUnreadable = record.storeUnreadable,
        )
    }

    fun delta(reply: SyncReply): DaemonSetDelta = DaemonSetDelta(
        version = reply.viewVersion,
        complete = reply.viewComplete,
        daemons = reply.daemonsList.mapNotNull { fromWire(it) },
        removed = reply.goneList.toSet(),
    )
}

private const val NO_RANK = -1L
private const val NO_DUTIES = 0L
