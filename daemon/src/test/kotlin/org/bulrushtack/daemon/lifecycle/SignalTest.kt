package org.bulrushtack.daemon.lifecycle

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.daemon.testing.DaemonFixture
import org.bulrushtack.daemon.testing.DaemonProcess
import org.bulrushtack.http.FreePorts
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

    // Guards against a reload signal that is ignored, since no handler could be installed once the process ignored it.
    @Test
    fun `an entry daemon logs that a reload signal changes nothing`() {
        DaemonFixture(daemonCount = 1, startDaemon = ::DaemonProcess).use { system ->
            val daemon = system.daemons.single() as DaemonProcess

            daemon.signal("HUP")

            DaemonFixture.await("the log line") { "only read at a start" in daemon.log }
        }
    }

    // Guards against the same in a forwarding daemon, whose settings then changed at the next poll only.
    @Test
    fun `a forwarding daemon reads its settings again at a reload signal`() {
        val ports = FreePorts.find(FORWARD_PORTS).map { "127.0.0.1:$it" }
        val file = Files.write(directory.resolve("daemon.ini"), forwardSettings(ports))
        val log = directory.resolve("daemon.log")
        val process = ProcessBuilder(DaemonProcess.command(file))
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start()
        try {
            DaemonFixture.await("the start of the daemon") { "The daemon has started." in Files.readString(log) }

            ProcessBuilder("kill", "-HUP", "${process.pid()}").start().waitFor()

            DaemonFixture.await("the reload") { "reason=\"SIGHUP\"" in Files.readString(log) }
        } finally {
            process.destroyForcibly().waitFor()
        }
    }

    private fun forwardSettings(addresses: List<String>): List<String> {
        val keys = listOf("listen", "readiness", "directory", "metrics")
        return listOf("[daemon]", "name = vm-1", "data-centre = a", "[forward]") +
            keys.mapIndexed { index, key -> "$key = ${addresses[index]}" } +
            listOf("[peers]", "listen = ${addresses[keys.size]}", "[store]", "address = ${addresses.last()}")
    }

    private companion object {
        const val FORWARD_PORTS = 6
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
