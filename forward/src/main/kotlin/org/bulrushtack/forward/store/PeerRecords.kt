package org.bulrushtack.forward.store

import com.google.protobuf.InvalidProtocolBufferException
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.protocol.DaemonRecord

/** Reads the records that daemons write about themselves to discover one another. */
internal class PeerRecords(
    private val daemons: DaemonTable,
    private val log: EventLog,
) {
    /** Adds the address in [record]; the daemon counts as live only once it has been seen. */
    fun learnAddress(record: StoreRecord) {
        val value = record.value ?: return
        try {
            val daemon = DaemonRecord.parseFrom(value)
            when {
                HostAndPort.parse(daemon.peerAddress) == null -> logUnusable(record, "malformed address")
                daemon.name != daemons.self.name ->
                    daemons.addPeer(label = daemon.name, peerAddress = daemon.peerAddress)
            }
        } catch (exception: InvalidProtocolBufferException) {
            logUnusable(record, exception.message)
        }
    }

    private fun logUnusable(record: StoreRecord, reason: String?) = log.warn(
        "A daemon's record can't be read.",
        LogField("key", record.key),
        LogField("reason", reason),
    )
}
