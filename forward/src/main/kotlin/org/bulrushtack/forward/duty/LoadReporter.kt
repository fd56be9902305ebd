package org.bulrushtack.forward.duty

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.protocol.LoadReport
import org.bulrushtack.protocol.LoadReportReply
import java.util.concurrent.CompletableFuture

/**
 * Reports what this daemon has counted to the live daemon with the highest fencing token, and handles the reports of
 * others while this daemon holds the duties.
 */
internal class LoadReporter(
    private val daemons: DaemonTable,
    private val contributions: List<LoadContribution>,
    private val send: (address: String, report: LoadReport) -> CompletableFuture<LoadReportReply>,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    private var receiver: String? = null
    private var refusedToken: Long? = null
    private var isInFlight = false
    private var isFailing = false

    /** Sends a report, unless the one before is still on its way or there is nobody to send it to. */
    fun tick() {
        val holder = if (contributions.isEmpty()) null else holder(thread.nowMillis())
        when {
            holder == null -> Unit
            holder.name == daemons.self.name -> receive(report())
            holder.dutyToken != refusedToken && !isInFlight -> sendTo(holder)
        }
    }

    /** Takes the [report] of another daemon and returns the reply. */
    fun handle(report: LoadReport): LoadReportReply {
        val token = daemons.self.dutyToken
        if (token != null) receive(report)
        return LoadReportReply.newBuilder().setDutyToken(token ?: NO_DUTIES).build()
    }

    private fun holder(nowMillis: Long): DaemonInfo? =
        (daemons.live(nowMillis) + daemons.self)
            .filter { it.dutyToken != null }
            .maxByOrNull { it.dutyToken ?: NO_DUTIES }

    private fun report(): LoadReport {
        val report = LoadReport.newBuilder().setDaemon(daemons.self.name).setIncarnation(daemons.self.incarnation)
        thread.forEach(contributions) { it.addTo(report) }
        return report.build()
    }

    private fun receive(report: LoadReport) {
        val nowMillis = thread.nowMillis()
        thread.forEach(contributions) { it.receive(report, nowMillis) }
    }

    private fun sendTo(holder: DaemonInfo) {
        isInFlight = true
        thread.whenDone(send(holder.peerAddress, report())) { reply, failure ->
            isInFlight = false
            when {
                reply == null -> onFailure(holder, failure)
                reply.dutyToken == holder.dutyToken -> onReceived(holder)
                else -> onRefused(holder, reply)
            }
        }
    }

    private fun onReceived(holder: DaemonInfo) {
        isFailing = false
        val current = "${holder.name} ${holder.dutyToken}"
        if (receiver != current) log.info("Load reports go to another daemon.", fields(holder))
        receiver = current
    }

    private fun onRefused(holder: DaemonInfo, reply: LoadReportReply) {
        refusedToken = holder.dutyToken
        log.info(
            "A daemon no longer holds the duties; load reports wait for the next holder.",
            fields(holder) + LogField("reply_token", reply.dutyToken),
        )
    }

    private fun onFailure(holder: DaemonInfo, failure: Throwable?) {
        val reason = LogField("reason", failure?.message)
        if (!isFailing) log.info("A load report was not confirmed.", fields(holder) + reason)
        isFailing = true
    }

    private fun fields(holder: DaemonInfo) = listOf(
        LogField("daemon", holder.name),
        LogField("address", holder.peerAddress),
        LogField("token", holder.dutyToken),
    )

    companion object {
        /** The interval between two reports. */
        const val INTERVAL_MILLIS = 500L

        private const val NO_DUTIES = 0L
    }
}
