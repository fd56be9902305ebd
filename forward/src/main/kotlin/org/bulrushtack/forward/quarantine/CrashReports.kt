package org.bulrushtack.forward.quarantine

import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.core.quarantine.PromptQuarantine
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/**
 * Shares through the platform's store under which prompt parts servers have crashed, and which parts were answered, so
 * that all daemons quarantine the same parts, also those that start later or reach no other daemon.
 *
 * @param writerId identifies this process in the records
 * @param announcementDelayMillis the delay before an answer is announced, drawn anew each time; the announcement is not
 *   needed if another daemon makes it first
 */
internal class CrashReports(
    private val quarantine: PromptQuarantine,
    private val writer: CrashRecordWriter,
    private val writerId: String,
    private val announcementDelayMillis: () -> Long,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    private val learnedAtMillis = LinkedHashMap<String, Long>()
    private val ownSuspects = HashMap<String, Set<String>>()
    private val announcements = HashSet<String>()
    private var loggedGroups: Set<Set<String>> = emptySet()

    /** The number of groups of parts whose requests are refused now. */
    val quarantinedGroups: Int get() = quarantine.activeCount(thread.nowMillis())

    /** How long a request with [parts] has to stay away from servers; 0 if it may be sent now. */
    fun quarantineMillis(parts: Set<String>): Long = quarantine.remainingMillis(parts, thread.nowMillis())

    /** Records that [lifetime] of a server ended before it answered a request with [parts]. */
    fun onCrash(lifetime: ServerLifetime, parts: Set<String>) {
        val lifetimeId = CrashRecord.lifetimeId(lifetime)
        val suspects = quarantine.recordCrash(lifetimeId, parts, thread.nowMillis())
        val known = ownSuspects[lifetimeId].orEmpty()
        if (known.containsAll(suspects)) return
        ownSuspects[lifetimeId] = known + suspects
        writer.write(CrashRecord.Crash(lifetimeId = lifetimeId, writerId = writerId, suspects = known + suspects))
        logChanges()
    }

    /** Writes this daemon's reports once more, after the store came back from a copy that may lack them. */
    fun writeAgain() = ownSuspects.forEach { (lifetimeId, suspects) ->
        writer.write(CrashRecord.Crash(lifetimeId = lifetimeId, writerId = writerId, suspects = suspects))
    }

    /** Records that a server answers a request with [parts]. */
    fun onAnswer(parts: Set<String>) {
        val cleared = quarantine.recordAnswer(parts, thread.nowMillis())
        if (cleared.isEmpty()) return
        ownSuspects.replaceAll { _, suspects -> suspects - cleared }
        announce(cleared)
        logChanges()
    }

    /** Applies [record] of this daemon or another. */
    fun apply(record: StoreRecord) {
        val isDeleted = record.value == null
        if (isDeleted) learnedAtMillis.remove(record.key) else learnedAtMillis[record.key] = thread.nowMillis()
        val decoded = CrashRecord.decode(record)
        if (decoded == null || decoded.writerId == writerId) return
        when (decoded) {
            is CrashRecord.Crash -> announce(suspectUnlessAnswered(decoded))
            is CrashRecord.Answer -> {
                quarantine.clear(setOf(decoded.part))
                announcements.remove(decoded.part)
            }
        }
        logChanges()
    }

    /** Forgets what is too old to count; a daemon that reads the store for all ([isReader]) deletes the records too. */
    fun tick(isReader: Boolean) {
        val nowMillis = thread.nowMillis()
        quarantine.expire(nowMillis)
        ownSuspects.keys.retainAll(quarantine.crashedLifetimes)
        val expired = learnedAtMillis.filterValues { it + PromptQuarantine.CONFIRMED_MILLIS <= nowMillis }.keys
        if (isReader) expired.forEach { writer.delete(it) }
        learnedAtMillis.keys.removeAll(expired)
    }

    /** Returns the parts that the reporting daemon suspects and that were answered here. */
    private fun suspectUnlessAnswered(crash: CrashRecord.Crash): Set<String> =
        crash.suspects - quarantine.recordCrash(crash.lifetimeId, crash.suspects, thread.nowMillis())

    private fun announce(answered: Set<String>) {
        answered.filter { announcements.add(it) }.forEach { part ->
            thread.schedule(announcementDelayMillis()) {
                if (announcements.remove(part)) writer.write(CrashRecord.Answer(part = part, writerId = writerId))
            }
        }
    }

    private fun logChanges() {
        val groups = quarantine.groups.associateBy { it.parts }
        (groups.keys - loggedGroups).forEach { parts ->
            log.warn(
                "Backend servers crashed under parts of prompts; requests with them are refused.",
                LogField("parts", parts.joinToString(",")),
                LogField("crashes", groups.getValue(parts).crashes),
                LogField("millis", groups.getValue(parts).untilMillis - thread.nowMillis()),
            )
        }
        (loggedGroups - groups.keys).forEach { parts ->
            log.info("Parts of prompts are no longer suspected together.", LogField("parts", parts.joinToString(",")))
        }
        loggedGroups = groups.keys.toSet()
    }
}
