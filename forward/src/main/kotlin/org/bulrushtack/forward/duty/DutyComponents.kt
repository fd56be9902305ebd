package org.bulrushtack.forward.duty

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.duty.UsageCounter
import org.bulrushtack.core.duty.UsageLedger
import org.bulrushtack.core.duty.UsageWindows
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.forward.DutySettings
import org.bulrushtack.forward.ForwardMetrics

/**
 * Creates and connects the components of duties; there are none where the settings name no duty address.
 *
 * @param otherTasks the duties beside the reports of usage
 */
internal class DutyComponents(
    private val settings: DutySettings,
    private val daemons: DaemonTable,
    store: RecordStore,
    endpoint: DutyEndpoint,
    otherTasks: List<DutyTask>,
    private val environment: DutyEnvironment,
) {
    private val reportsUsage = endpoint.codec.reportsUsage(settings.names)
    private val windows = UsageWindows(lengthMillis = settings.windowMillis)
    private val topic = DutyTopic(store = store, thread = environment.thread)
    private val ledger = UsageLedger(windows, lateMillis = settings.lateMillis)
    private val counter = UsageCounter(windows)
    private val records = UsageRecords(topic, endpoint.codec)
    val trueTime = TrueTimeClock(daemons, environment)
    private val sender = UsageSender(
        records = records,
        ledger = ledger,
        windows = windows,
        trueTime = trueTime::nowMillis,
        lateMillis = settings.lateMillis,
        environment = environment,
    )
    private val usageReports = UsageReports(
        topic = topic,
        records = records,
        ledger = ledger,
        sender = sender,
        ownUsage = ::collectOwnUsage,
        environment = environment,
    )

    /** What this daemon reports to the holder of the duties. */
    val contributions: List<LoadContribution> =
        if (reportsUsage) listOf(UsageContribution(counter, ledger)) else emptyList()

    /** The duties that are performed. */
    private val tasks: List<DutyTask> = if (reportsUsage) otherTasks + usageReports else otherTasks
    val holder = DutyHolder(
        leaseMillis = settings.leaseMillis,
        daemons = daemons,
        topic = topic,
        address = endpoint.address,
        tasks = tasks,
        environment = environment,
    )

    /** Counts a request of [workspace] that began to run now. */
    fun recordUsage(workspace: String) {
        if (reportsUsage) counter.count(workspace, trueTime.nowMillis())
    }

    /** Claims or performs the duties; [isSettled] tells whether this daemon has had time to learn of its peers. */
    fun tick(isSettled: Boolean) {
        trueTime.tick()
        counter.forget(trueTime.nowMillis())
        if (tasks.isNotEmpty()) holder.tick(isSettled)
    }

    /** Registers the gauges that are read at each scrape. */
    fun registerGauges(metrics: ForwardMetrics) {
        metrics.gauge("bulrushtack.forward.duty.holder") { if (holder.session == null) 0 else 1 }
        metrics.gauge("bulrushtack.forward.duty.token") { holder.session?.token ?: 0 }
        metrics.gauge("bulrushtack.forward.duty.held.millis") {
            holder.session?.let { environment.thread.nowMillis() - it.heldSinceMillis } ?: 0
        }
        metrics.gauge("bulrushtack.forward.usage.windows.due") {
            if (holder.session == null) 0 else sender.pendingCount
        }
        metrics.gauge("bulrushtack.forward.usage.windows.late") { sender.lateCount }
        metrics.gauge("bulrushtack.forward.usage.windows.reported") { sender.acceptedCount }
    }

    /** A holder needs no message to know its own counts. */
    private fun collectOwnUsage() =
        ledger.receive(UsageContribution.source(daemons.self.name, daemons.self.incarnation), counter.counts)
}
