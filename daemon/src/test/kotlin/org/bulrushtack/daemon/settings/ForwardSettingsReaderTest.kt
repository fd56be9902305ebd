package org.bulrushtack.daemon.settings

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
    )

    private fun fillTemplate(without: String = ""): String = PLACEHOLDER.replace(template) { found ->
        val name = found.groupValues[1]
        if (name == without) "" else values.getValue(name)
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

    @Test
    fun `a missing value without a default is an error that names its key`() {
        val errorKeys = read(fillTemplate(without = "platform.address")).leftOrNull().orEmpty().map { it.key }

        errorKeys shouldContain "address"
    }

    private companion object {
        val PLACEHOLDER = Regex("""\{\{([a-z_.]+)}}""")
    }
}
