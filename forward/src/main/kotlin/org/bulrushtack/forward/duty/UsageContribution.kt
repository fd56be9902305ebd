package org.bulrushtack.forward.duty

import org.bulrushtack.core.duty.UsageCounter
import org.bulrushtack.core.duty.UsageLedger
import org.bulrushtack.protocol.LoadReport
import org.bulrushtack.protocol.UsageCount

/** Sends what this daemon has counted to the holder of the duties, and collects there what others have counted. */
internal class UsageContribution(
    private val counter: UsageCounter,
    private val ledger: UsageLedger,
) : LoadContribution {
    override fun addTo(report: LoadReport.Builder) = counter.counts.forEach { (window, byWorkspace) ->
        byWorkspace.forEach { (workspace, count) ->
            report.addUsage(UsageCount.newBuilder().setWindow(window).setWorkspace(workspace).setCount(count))
        }
    }

    override fun receive(report: LoadReport, nowMillis: Long) {
        val usage = report.usageList.groupBy { it.window }
            .mapValues { (_, counts) -> counts.associate { it.workspace to it.count } }
        ledger.receive(source = source(report.daemon, report.incarnation), usage = usage)
    }

    companion object {
        /** The name under which the counts of one incarnation of a daemon are collected. */
        fun source(daemon: String, incarnation: String): String = "$daemon/$incarnation"
    }
}
