package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.protocol.DaemonRecord

/** Records in [daemons] what peers say of themselves and of others, and logs which ones are live or don't respond. */
internal class PeerObserver(
    private val daemons: DaemonTable,
    private val probes: ProbeSchedule,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    /** Called after news from a daemon that can't read the store, or can read it again. */
    var onReadability: () -> Unit = {}

    /** Called with the address of a daemon with which a sync failed, and with the failure. */
    var onFailure: (address: String, failure: Throwable) -> Unit = { _, _ -> }

    /** Records what a daemon says of itself or, if not [direct], of another one. */
    fun observe(nowMillis: Long, record: DaemonRecord, direct: Boolean) {
        val daemon = DaemonMessages.fromWire(record)
        if (daemon == null) {
            log.warn(
                "A daemon's account of itself can't be used.",
                LogField("daemon", record.name),
                LogField("address", record.peerAddress),
            )
        } else {
            observe(daemon, atMillis = nowMillis - maxOf(0, record.ageMillis), direct = direct)
        }
    }

    private fun observe(daemon: DaemonInfo, atMillis: Long, direct: Boolean) {
        val isNew = daemon.name != daemons.self.name && !daemons.isLive(daemon.name, atMillis)
        note(daemon, atMillis, direct)
        if (isNew) {
            log.info(
                "A daemon is live.",
                LogField("daemon", daemon.name),
                LogField("address", daemon.peerAddress),
                LogField("rank", daemon.rank),
                LogField("direct", direct),
            )
        }
    }

    /** Records the daemons that [reporter] says it had contact with until [atMillis]. */
    fun observeReported(reported: Collection<DaemonInfo>, reporter: String, atMillis: Long) {
        val newlyLive = reported.filterNot { it.name == daemons.self.name || daemons.isLive(it.name, atMillis) }
        reported.forEach { note(it, atMillis, direct = false) }
        if (newlyLive.isNotEmpty()) {
            log.info(
                "A peer reports daemons as live.",
                LogField("peer", reporter),
                LogField("count", newlyLive.size),
                LogField("daemons", newlyLive.take(MAXIMUM_LOGGED_NAMES).joinToString(",") { it.name }),
            )
        }
    }

    /** Records that a sync with the daemon at [address] failed. */
    fun recordFailure(address: String, failure: Throwable) {
        val nowMillis = thread.nowMillis()
        onFailure(address, failure)
        if (probes.recordFailure(address, nowMillis)) {
            log.info(
                "A daemon did not respond.",
                LogField("address", address),
                LogField("reason", failure.message),
            )
        }
        daemons.markUnresponsive(peerAddress = address, nowMillis = nowMillis)
    }

    /** Records that a new connection to the daemon at [address] replaces one that has fallen silent. */
    fun recordReplaced(address: String, failure: SilentConnectionException) = log.info(
        "A connection to a daemon was replaced.",
        LogField("address", address),
        LogField("reason", failure.message),
    )

    /** Outside of the call that brings the news, which ends with its reply. */
    private fun note(daemon: DaemonInfo, atMillis: Long, direct: Boolean) {
        val isNews = daemons.observe(daemon = daemon, atMillis = atMillis, direct = direct)
        if (isNews) thread.execute { onReadability() }
    }
}

/** The most daemons that one log line names. */
private const val MAXIMUM_LOGGED_NAMES = 8
