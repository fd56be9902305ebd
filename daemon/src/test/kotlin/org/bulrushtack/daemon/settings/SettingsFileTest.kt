package org.bulrushtack.daemon.settings

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path

/** Reads settings files that another program has not finished writing, or that are no settings files at all. */
class SettingsFileTest : AnnotationSpec() {
    private lateinit var file: Path

    @BeforeEach
    fun createFile() {
        file = Files.createTempFile("settings", ".ini")
    }

    @AfterEach
    fun deleteFile() {
        file.toFile().deleteRecursively()
    }

    private fun isValid(bytes: ByteArray): Boolean {
        Files.write(file, bytes)
        return SettingsFile(file).read().isRight()
    }

    @Test
    fun `a file that was cut off before its last value is an error`() {
        isValid(SETTINGS.toByteArray()) shouldBe true

        (0..SETTINGS.lastIndexOf('=')).forEach { length ->
            isValid(SETTINGS.take(length).toByteArray()) shouldBe false
        }
    }

    @Test
    fun `bytes that are no text are an error`() {
        isValid(ByteArray(SIZE) { it.toByte() }) shouldBe false
        isValid(SETTINGS.replace("vm-1", "\u00e4").toByteArray(Charsets.ISO_8859_1)) shouldBe false
    }

    // Guards against a process whose main thread ended at the reload of such a file.
    @Test
    fun `a value that refers to itself is an error`() {
        isValid(SETTINGS.replace("vm-1", "\${daemon.name}").toByteArray()) shouldBe false
    }

    @Test
    fun `a missing file and a directory are errors`() {
        Files.delete(file)
        SettingsFile(file).read().isLeft() shouldBe true

        Files.createDirectory(file)
        SettingsFile(file).read().isLeft() shouldBe true
    }

    private companion object {
        const val SIZE = 1_000
        val SETTINGS = """
            [daemon]
            name = vm-1
            data-centre = a
            [forward]
            listen = 127.0.0.1:1
            readiness = 127.0.0.1:2
            directory = 127.0.0.1:3
            metrics = 127.0.0.1:4
            [peers]
            listen = 127.0.0.1:5
            [store]
            address = 127.0.0.1:6
        """.trimIndent()
    }
}
