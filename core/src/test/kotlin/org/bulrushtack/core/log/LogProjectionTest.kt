package org.bulrushtack.core.log

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.settings.SettingAddress
import org.bulrushtack.core.settings.SettingChange
import org.bulrushtack.core.settings.SettingsPath

class LogProjectionTest : AnnotationSpec() {
    private val dock = SettingsPath.ROOT.child("workspaces").child("dock")
    private val address = SettingAddress(dock, "max-running")
    private val call = CallKey("dock", "booking", "key")

    private fun edit(id: String, value: String, version: Long) =
        SettingsEdit(id, "operator", listOf(SettingChange(address, value, version)))

    private fun claim(id: String) = CallClaim(id, call, "vm-1", "incarnation-1", "fingerprint")

    private fun LogProjection.applyAll(vararg records: LogRecord): List<ApplyOutcome> = records.map { record ->
        apply(LogEntry(appliedOffset + 1, appendedAtMillis = 1_000, record))!!.outcome
    }

    @Test
    fun `of two edits based on the same version the first wins`() {
        val testSubject = LogProjection()

        val outcomes = testSubject.applyAll(edit("a", "10", 0), edit("b", "20", 0), edit("c", "30", 1))

        outcomes shouldBe listOf(
            ApplyOutcome.Accepted,
            ApplyOutcome.Rejected(listOf(address)),
            ApplyOutcome.Accepted,
        )
        testSubject.tree.resolve(dock, "max-running").value shouldBe "30"
    }

    @Test
    fun `a duplicate record has no further effect`() {
        val testSubject = LogProjection()

        val outcomes = testSubject.applyAll(edit("a", "10", 0), edit("b", "20", 1), edit("a", "10", 0))

        outcomes.last() shouldBe ApplyOutcome.Duplicate
        testSubject.tree.resolve(dock, "max-running").value shouldBe "20"
    }

    @Test
    fun `an entry at or below the applied offset is skipped`() {
        val testSubject = LogProjection()
        testSubject.applyAll(edit("a", "10", 0), edit("b", "20", 1))

        testSubject.apply(LogEntry(1, 1_000, edit("c", "30", 0))).shouldBeNull()
        testSubject.load(LogState(appliedOffset = 1)) shouldBe false

        testSubject.appliedOffset shouldBe 2
    }

    @Test
    fun `a removed value keeps its version, so that an edit based on no value is rejected`() {
        val testSubject = LogProjection()
        val unset = SettingsEdit("b", "operator", listOf(SettingChange(address, null, 1)))

        val outcomes = testSubject.applyAll(edit("a", "10", 0), unset, edit("c", "30", 0))

        outcomes.last() shouldBe ApplyOutcome.Rejected(listOf(address))
        testSubject.tree.resolve(dock, "max-running").source.shouldBeNull()
    }

    @Test
    fun `the first claim of a call wins, and only the outcome under that claim is accepted`() {
        val testSubject = LogProjection()
        val foreign = CallOutcome("x", call, claimId = "b", known = true, answer = null)
        val own = CallOutcome("y", call, claimId = "a", known = true, answer = null)

        val outcomes = testSubject.applyAll(claim("a"), claim("b"), foreign, own)

        outcomes shouldBe listOf(
            ApplyOutcome.Accepted,
            ApplyOutcome.Rejected(),
            ApplyOutcome.Rejected(),
            ApplyOutcome.Accepted,
        )
        testSubject.claims.find(call)?.outcome shouldBe own
    }

    @Test
    fun `a release frees the key of a claim, but not after the outcome is recorded`() {
        val testSubject = LogProjection()
        val outcome = CallOutcome("y", call, claimId = "b", known = false, answer = null)

        val outcomes = testSubject.applyAll(
            claim("a"),
            CallRelease("r1", call, "a"),
            claim("b"),
            outcome,
            CallRelease("r2", call, "b"),
        )

        outcomes.last() shouldBe ApplyOutcome.Rejected()
        testSubject.claims.find(call)?.outcome shouldBe outcome
    }

    @Test
    fun `claims expire after the retention time by the platform's clock`() {
        val testSubject = LogProjection()
        testSubject.apply(LogEntry(1, 1_000, claim("a")))

        testSubject.apply(LogEntry(2, 1_001 + LogProjection.CALL_RETENTION_MILLIS, edit("b", "10", 0)))

        testSubject.claims.find(call).shouldBeNull()
    }

    @Test
    fun `an ownership claim is rejected unless it replaces the current epoch`() {
        val testSubject = LogProjection()

        val outcomes = testSubject.applyAll(
            OwnershipClaim("a", "engine", "vm-1", "incarnation-1", replacesEpoch = 0),
            OwnershipClaim("b", "engine", "vm-2", "incarnation-1", replacesEpoch = 0),
            OwnershipClaim("c", "engine", "vm-3", "incarnation-1", replacesEpoch = 1),
        )

        outcomes[1] shouldBe ApplyOutcome.Rejected()
        testSubject.owners.find("engine")?.owner shouldBe "vm-3"
        testSubject.owners.find("engine")?.epoch shouldBe 3
        testSubject.owners.find("engine")?.predecessors shouldBe listOf(OwnerEntry.Predecessor("vm-1", "incarnation-1"))
    }

    @Test
    fun `a projection restored from a snapshot continues like one that applied all entries`() {
        val records = arrayOf(edit("a", "10", 0), claim("c"), OwnershipClaim("o", "engine", "vm-1", "incarnation-1", 0))
        val complete = LogProjection().apply { applyAll(*records) }
        val testSubject = LogProjection()

        testSubject.load(complete.state()) shouldBe true
        testSubject.applyAll(edit("a", "10", 0), claim("d"))
        complete.applyAll(edit("a", "10", 0), claim("d"))

        testSubject.state() shouldBe complete.state()
    }

    @Test
    fun `the edit history redacts secret values`() {
        val testSubject = LogProjection()
        val hash = "a".repeat(64)
        val secret = SettingChange(SettingAddress(dock, "key-hashes"), hash, 0)

        testSubject.applyAll(SettingsEdit("a", "operator", listOf(secret)))

        testSubject.edits.all().single().changes.single().value shouldBe "(hidden)"
        testSubject.tree.branchOfKeyHash(hash) shouldBe dock
    }
}
