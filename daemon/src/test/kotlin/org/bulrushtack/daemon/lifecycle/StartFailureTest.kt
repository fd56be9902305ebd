package org.bulrushtack.daemon.lifecycle

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.daemon.testing.DaemonProcess
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.util.concurrent.TimeUnit

class StartFailureTest : AnnotationSpec() {
    /** Starts a daemon with [settings] and returns its exit status, or null if it runs on. */
    private fun exitStatus(settings: String): Int? {
        val file = Files.createTempFile("daemon", ".ini").also { Files.writeString(it, settings) }
        val process = ProcessBuilder(DaemonProcess.command(file))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start()
        val hasExited = process.waitFor(START_SECONDS, TimeUnit.SECONDS)
        process.destroyForcibly().waitFor()
        Files.delete(file)
        return if (hasExited) process.exitValue() else null
    }

    // Guards against processes that stayed without serving anyone, so that nothing started them again.
    @Test
    fun `a daemon whose port is taken exits`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { taken ->
            exitStatus(FORWARDING.replace("PORT", "${taken.localPort}")) shouldBe EXIT_FAILED
            exitStatus(ENTRY.replace("PORT", "${taken.localPort}")) shouldBe EXIT_FAILED
        }
    }

    private companion object {
        const val START_SECONDS = 20L
        const val EXIT_FAILED = 1
        const val DAEMON = "[daemon]\nname = vm-1\ndata-centre = a\n"
        const val FORWARDING = DAEMON + "[forward]\nlisten = 127.0.0.1:PORT\nreadiness = 127.0.0.1:PORT\n" +
            "directory = 127.0.0.1:PORT\nmetrics = 127.0.0.1:PORT\n[peers]\nlisten = 127.0.0.1:PORT\n" +
            "[store]\naddress = 127.0.0.1:PORT\n"
        const val ENTRY = DAEMON + "[listen]\nhttp = 127.0.0.1:PORT\npeer = 127.0.0.1:PORT\n" +
            "[platform]\naddress = 127.0.0.1:PORT\n"
    }
}
