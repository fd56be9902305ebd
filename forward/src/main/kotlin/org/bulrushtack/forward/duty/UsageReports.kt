package org.bulrushtack.forward.duty

import org.bulrushtack.core.duty.RetryDelay
import org.bulrushtack.core.duty.UsageLedger
import org.bulrushtack.core.duty.UsageReport
import org.bulrushtack.core.duty.UsageWindows
import org.bulrushtack.core.store.KeyedValue
import org.bulrushtack.forward.log.LogField

/**
 * Reports the usage of each window to the platform. A report is stored before it is first sent, and only the stored
 * bytes are ever sent. The counts collected so far are saved once a second for the next holder.
 *
 * @param ownUsage adds this daemon's own counts to [ledger]
 */
internal class UsageReports(
    private val topic: DutyTopic,
    private val records: UsageRecords,
    private val ledger: UsageLedger,
    private val sender: UsageSender,
    private val ownUsage: () -> Unit,
    private val environment: DutyEnvironment,
) : DutyTask {
    private val log = environment.log
    private val retryDelay = RetryDelay(environment.random)
    private var session: DutySession? = null
    private var savedRevision = 0L
    private var savedAtMillis = Long.MIN_VALUE / 2
    private var retryAtMillis = Long.MIN_VALUE

    override fun tick(session: DutySession, nowMillis: Long) {
        if (this.session !== session) start(session)
        ownUsage()
        ledger.update(records.storedWindows, sender.trueTimeMillis)
        if (topic.canWrite && nowMillis >= retryAtMillis) write(session, nowMillis)
        sender.sendNext(session, nowMillis)
    }

    override fun onHoldLost() {
        session = null
    }

    private fun start(session: DutySession) {
        this.session = session
        savedRevision = 0
        val saved = records.snapshot
        saved?.let { ledger.restore(it) }
        log.info(
            "This daemon reports usage.",
            LogField("token", session.token),
            LogField("restored_daemons", saved?.counts?.size),
            LogField("stored_reports", records.storedWindows.size),
        )
    }

    private fun write(session: DutySession, nowMillis: Long) {
        val trueTimeMillis = sender.trueTimeMillis
        val heldMillis = nowMillis - session.heldSinceMillis
        // A new holder first waits for the counts that other daemons send to it.
        val due = if (heldMillis < COLLECTING_MILLIS) {
            emptyList()
        } else {
            ledger.dueReports(trueTimeMillis, heldSinceMillis = trueTimeMillis - heldMillis)
        }
        val reports = due.take(REPORTS_PER_WRITE)
        val expired = records.storedWindows.filter {
            sender.ageMillis(it) > UsageWindows.REPORTS_KEPT_MILLIS
        }
        // The windows of dropped reports are settled in the same write, so that no holder makes other reports of them.
        expired.lastOrNull()?.let { ledger.settle(it) }
        val isSaveDue = ledger.revision != savedRevision && nowMillis - savedAtMillis >= SAVE_INTERVAL_MILLIS
        val revision = ledger.revision
        val snapshot = if (isSaveDue || expired.isNotEmpty()) snapshotRecord() else null
        val drops = if (snapshot == null) emptyList() else expired.map { records.drop(it) }
        if (drops.isNotEmpty()) logDropped(expired - ledger.accepted)
        val written = reports.map { records.record(it) } + listOfNotNull(snapshot) + drops
        if (snapshot != null) savedAtMillis = nowMillis
        if (written.isNotEmpty()) append(written, reports, revision.takeIf { snapshot != null })
    }

    private fun snapshotRecord(): KeyedValue? {
        val snapshot = ledger.snapshot()
        val record = records.record(snapshot)
        if (record == null) {
            log.warn("The collected usage is too large to be saved.", LogField("daemons", snapshot.counts.size))
        }
        return record
    }

    private fun append(written: List<KeyedValue>, reports: List<UsageReport>, revision: Long?) =
        topic.append(written) { result ->
            if (result == DutyWriteResult.STORED) {
                retryDelay.reset()
                savedRevision = revision ?: savedRevision
                reports.forEach { logReport(it) }
            } else {
                retryAtMillis = environment.thread.nowMillis() + retryDelay.nextMillis()
                log.warn(
                    "A write of usage was not confirmed.",
                    LogField("result", result.name.lowercase()),
                    LogField("windows", reports.joinToString(",") { "${it.window}" }),
                )
            }
        }

    private fun logDropped(windows: List<Long>) = windows.forEach {
        log.warn(
            "A usage report is dropped that the platform has not accepted.",
            LogField("window", it),
            LogField("age_millis", sender.ageMillis(it)),
        )
    }

    private fun logReport(report: UsageReport) = log.info(
        "A usage report was made.",
        LogField("window", report.window),
        LogField("requests", report.counts.values.sum()),
        LogField("workspaces", report.counts.size),
        LogField("daemons", report.sources),
        LogField("age_millis", sender.ageMillis(report.window)),
    )
}

/**
 * The announcement of a new holder takes up to two syncs of 400 ms to reach a daemon, which then reports within 500 ms.
 * Most daemons are heard within 1 s, and waiting for the last ones would put off reports beyond two leases.
 */
private const val COLLECTING_MILLIS = 1_000L
private const val SAVE_INTERVAL_MILLIS = 1_000L

/** Bounds the work of one turn of the network thread after an outage. */
private const val REPORTS_PER_WRITE = 4
