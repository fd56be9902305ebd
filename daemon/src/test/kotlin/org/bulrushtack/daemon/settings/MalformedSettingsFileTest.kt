package org.bulrushtack.daemon.settings

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import java.nio.file.Files
import java.nio.file.Path

/** Reads settings files of any content; each yields settings or errors, so that a reload never ends a process. */
class MalformedSettingsFileTest : AnnotationSpec() {
    private val seed = System.getProperty("seed")?.toLong() ?: 1L
    private val iterations = System.getProperty("iterations")?.toInt() ?: DEFAULT_ITERATIONS
    private val file = Files.createTempFile("daemon", ".ini")
    private val testSubject = SettingsFile(file)
    private val template =
        Files.readString(Path.of("../deploy/daemon.ini")).replace(Regex("\\{\\{[^}]*}}"), "127.0.0.1:80")

    @AfterAll
    fun deleteFile() {
        Files.delete(file)
    }

    @Test
    fun `values that refer to others or to the system are errors`() {
        listOf("\${daemon.name}", "\${forward.listen}", "\${sys:user.name}", "\${expr:1/0}", "\${file:UTF-8:none}")
            .forEach { value ->
                withClue(value) {
                    Files.writeString(file, template.replace("name = 127.0.0.1:80", "name = $value"))

                    testSubject.read().leftOrNull().orEmpty().any { it.key == "name" } shouldBe true
                }
            }
    }

    @Test
    suspend fun `a settings file of any content yields settings or errors`() {
        val fragments = Arb.element(FRAGMENTS).map { it.toByteArray() }
        val inserted = Arb.choice(fragments, Arb.byteArray(Arb.int(1, MAXIMUM_INSERTED), Arb.byte()))
        checkAll(
            PropTestConfig(seed = seed, iterations = iterations),
            Arb.int(0, template.length),
            Arb.int(0, MAXIMUM_INSERTED),
            inserted,
        ) { position, removed, bytes ->
            val head = template.substring(0, position).toByteArray()
            Files.write(file, head + bytes + template.drop(position + removed).toByteArray())

            testSubject.read()
        }
    }

    private companion object {
        const val DEFAULT_ITERATIONS = 2_000
        const val MAXIMUM_INSERTED = 16
        val FRAGMENTS = listOf(
            "\${daemon.name}", "\${forward.listen}", "\${expr:1/0}", "[", "]", "[[", "\n[]\n", "=", "\n=\n", "\\", "\"",
            "'", "#", ";", "\n.a.b=1\n", "\n[forward]\n", "(1)", "[@x]", "..", "\n\n", "\u0000", "9".repeat(LONG),
        )
        const val LONG = 400
    }
}
