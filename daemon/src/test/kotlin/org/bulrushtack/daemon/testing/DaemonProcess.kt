package org.bulrushtack.daemon.testing

import org.bulrushtack.daemon.settings.ProcessSettings
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A daemon in its own process, which a test can kill, pause and resume. */
internal class DaemonProcess(
    settings: ProcessSettings,
) : RunningDaemon {
    private val file = Files.createTempFile("daemon", ".ini").also { Files.writeString(it, ini(settings)) }
    private val output = Files.createTempFile("daemon", ".log")
    private val process = ProcessBuilder(command(file))
        .redirectErrorStream(true)
        .redirectOutput(output.toFile())
        .start()

    override val httpPort: Int = port(Regex("http=127.0.0.1:([0-9]+) "))
    override val peerPort: Int = port(Regex("peer=([0-9]+) "))

    override fun stop() {
        signal("CONT")
        process.destroyForcibly().waitFor()
        Files.deleteIfExists(file)
        Files.deleteIfExists(output)
    }

    /** Sends the process a signal by its name, such as `KILL`, `STOP`, `CONT` or `TERM`. */
    fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }

    /** The lines that the process has written. */
    val log: String get() = Files.readString(output)

    /** Waits up to [seconds] for the process to exit by itself; returns whether it did. */
    fun exitsWithin(seconds: Long): Boolean = process.waitFor(seconds, TimeUnit.SECONDS)

    private fun port(pattern: Regex): Int {
        DaemonFixture.await("the start of a daemon") { pattern.containsMatchIn(Files.readString(output)) }
        return pattern.find(Files.readString(output))!!.groupValues[1].toInt()
    }

    private fun ini(settings: ProcessSettings): String = """
        [daemon]
        name = ${settings.name}
        data-centre = ${settings.dataCentre}
        drain-seconds = ${settings.drainMillis / MILLIS_PER_SECOND}
        [listen]
        http = ${settings.httpListen}
        peer = ${settings.peerListen}
        [platform]
        address = ${settings.platformAddress}
        [operators]
        bootstrap-key-hash = ${settings.bootstrapKeyHash}
    """.trimIndent()

    companion object {
        /** The command that starts a daemon with the settings in [file]; it heeds SIGHUP even if this one does not. */
        fun command(file: Path): List<String> = listOf(
            "env",
            "--default-signal=HUP",
            "${System.getProperty("java.home")}/bin/java",
            "-Xmx256m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path"),
            "org.bulrushtack.daemon.MainKt",
            file.toString(),
        )
    }
}

private const val MILLIS_PER_SECOND = 1_000
