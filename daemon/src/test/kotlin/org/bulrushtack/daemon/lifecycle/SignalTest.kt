package org.bulrushtack.daemon.lifecycle

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.daemon.testing.DaemonFixture
import org.bulrushtack.daemon.testing.DaemonProcess
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Sends signals to real daemon processes at times at which they expect none. */
class SignalTest : AnnotationSpec() {
    private lateinit var directory: Path

    @BeforeEach
    fun createDirectory() {
        directory = Files.createTempDirectory("signal")
    }

    @AfterEach
    fun deleteDirectory() {
        directory.toFile().deleteRecursively()
    }

    /** Starts a daemon that reads its settings from a pipe, sends it [signal] and returns its exit status. */
    private fun exitStatusAfterSignalDuringStart(signal: String): Int {
        val pipe = directory.resolve("daemon.ini")
        ProcessBuilder("mkfifo", "$pipe").start().waitFor()
        val process = ProcessBuilder(DaemonProcess.command(pipe) + "--check").redirectErrorStream(true).start()
        // The pipe opens only once the daemon has opened it for reading.
        Files.newOutputStream(pipe).use { settings ->
            ProcessBuilder("kill", "-$signal", "${process.pid()}").start().waitFor()
            if (!process.waitFor(SIGNAL_SECONDS, TimeUnit.SECONDS)) settings.write(SETTINGS.toByteArray())
        }
        return process.waitFor()
    }

    // Guards against processes that ended at a reload signal because no handler was installed yet.
    @Test
    fun `a reload signal during the start doesn't end the process`() {
        exitStatusAfterSignalDuringStart("HUP") shouldBe 0
    }

    @Test
    fun `a stop signal during the start ends the process`() {
        exitStatusAfterSignalDuringStart("TERM") shouldBe TERMINATED_STATUS
    }

    // Guards against the same end of an entry daemon, whose requests ended with it.
    @Test
    fun `an entry daemon goes on after a reload signal`() {
        DaemonFixture(daemonCount = 1, startDaemon = ::DaemonProcess).use { system ->
            val daemon = system.daemons.single() as DaemonProcess

            daemon.signal("HUP")

            daemon.exitsWithin(SIGNAL_SECONDS) shouldBe false
            system.complete("""{"model":"atlas","prompt":"x","max_tokens":1}""").status shouldBe 200
        }
    }

    private companion object {
        const val SIGNAL_SECONDS = 2L

        /** 128 and the number of SIGTERM. */
        const val TERMINATED_STATUS = 143
        val SETTINGS = """
            [daemon]
            name = vm-1
            data-centre = a
            [listen]
            http = 127.0.0.1:1
            peer = 127.0.0.1:2
            [platform]
            address = 127.0.0.1:3
        """.trimIndent()
    }
}
