package org.bulrushtack.daemon.settings

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import org.apache.commons.configuration2.INIConfiguration
import java.io.StringReader
import java.nio.file.Files
import java.nio.file.Path

/** Reads the settings template in `deploy/` with its placeholders filled in as the platform does it. */
class ForwardSettingsReaderTest : AnnotationSpec() {
    private val template = Files.readString(Path.of("../deploy/daemon.ini"))
    private val values = mapOf(
        "node" to "vm-1",
        "zone" to "a",
        "ip" to "127.0.0.1",
        "seeds" to "127.0.0.2:8229,127.0.0.3:8229",
        "bounds.free_ms" to "5000",
        "bounds.grace_s" to "8",
        "bounds.retry_budget_ratio" to "0.2",
        "bounds.retry_budget_slack" to "102",
        "platform.address" to "127.0.0.9:80",
        "listen.front" to "127.0.0.1:81",
        "listen.ready" to "127.0.0.1:82",
        "listen.directory" to "127.0.0.1:83",
        "limits.cpu_share" to "0.252",
        "limits.cores" to "1.0",
        "limits.memory_mb" to "282",
        "limits.max_fds" to "2069",
        "limits.link_mbps" to "9.8",
        "heartbeat_ms" to "1300",
        "cloud.address" to "127.0.0.8:90",
        "cloud.duties" to "usage_report,autoscale",
        "cloud.duty_per_s" to "10",
        "bounds.require_fencing" to "true",
        "bounds.lease_ms" to "3000",
        "bounds.usage_window_s" to "5",
        "bounds.usage_late_s" to "10",
    )

    private fun fillTemplate(without: String = "", changed: Map<String, String> = emptyMap()): String =
        PLACEHOLDER.replace(template) { found ->
            val name = found.groupValues[1]
            if (name == without) "" else changed[name] ?: values.getValue(name)
        }

    private fun read(text: String) =
        ForwardSettingsReader().read("daemon.ini", INIConfiguration().apply { read(StringReader(text)) })

    @Test
    fun `the filled template yields all settings`() {
        val settings = read(fillTemplate()).getOrNull()

        settings?.name shouldBe "vm-1"
        settings?.seeds shouldBe listOf("127.0.0.2", "127.0.0.3")
        settings?.reservationFreeMillis shouldBe 5_000
        settings?.retrySlack shouldBe 102.0
        settings?.responseBytes shouldBe 67_108_864
        settings?.heartbeatMillis shouldBe 1_300
    }

    @Test
    fun `a placeholder without a value yields the default`() {
        listOf("bounds.free_ms", "bounds.retry_budget_slack", "bounds.grace_s", "seeds").forEach { name ->
            read(fillTemplate(without = name)).isRight() shouldBe true
        }
        read(fillTemplate(without = "bounds.free_ms")).getOrNull()?.reservationFreeMillis shouldBe 4_000
    }

    @Test
    fun `a limit of response bodies that is no number of megabytes is an error that names its key`() {
        listOf("0", "0.5", "64MB", "5000").forEach { value ->
            val text = fillTemplate().replace("[forward]", "[forward]\nresponse-limit-megabytes = $value")

            read(text).leftOrNull().orEmpty().map { it.key } shouldContain "response-limit-megabytes"
        }
    }

    // Guards against duties in deployments that have none, and against duties that others than the named ones perform.
    @Test
    fun `duties are read where an address is given, and are absent otherwise`() {
        val duties = read(fillTemplate()).getOrNull()?.duties

        duties?.address.toString() shouldBe "127.0.0.8:90"
        duties?.names shouldBe setOf("usage_report", "autoscale")
        duties?.isFenced shouldBe true
        duties?.windowMillis shouldBe 5_000
        duties?.lateMillis shouldBe 10_000
        duties?.callsPerSecond shouldBe 10.0
        val without = read(fillTemplate(without = "cloud.address"))
        without.isRight() shouldBe true
        without.getOrNull()?.duties shouldBe null
    }

    // Guards against a daemon that starts with duties it can't perform, and fails or divides by zero later.
    @Test
    fun `a duty setting that is no address, window or limit is an error that names its key`() {
        val addresses = listOf("platform:90", "127.0.0.8", "127.0.0.8:0", "127.0.0.8:99999", "abc:90")
        val malformed = listOf(
            "cloud.address" to "address" to addresses,
            "bounds.usage_window_s" to "usage-window-seconds" to listOf("0", "-5", "NaN", "five"),
            "bounds.usage_late_s" to "usage-late-seconds" to listOf("0", "-1"),
            "bounds.lease_ms" to "lease-milliseconds" to listOf("0", "-3000", "1.5"),
            "cloud.duty_per_s" to "calls-per-second" to listOf("-1", "NaN", "many"),
            "bounds.require_fencing" to "fencing" to listOf("perhaps"),
        )

        malformed.forEach { (names, wrongValues) ->
            wrongValues.forEach { wrong ->
                val text = fillTemplate(changed = mapOf(names.first to wrong))

                withClue(wrong) { read(text).leftOrNull().orEmpty().map { it.key } shouldContain names.second }
            }
        }
    }

    @Test
    fun `a missing value without a default is an error that names its key`() {
        val errorKeys = read(fillTemplate(without = "platform.address")).leftOrNull().orEmpty().map { it.key }

        errorKeys shouldContain "address"
    }

    private companion object {
        val PLACEHOLDER = Regex("""\{\{([a-z_.]+)}}""")
    }
}
