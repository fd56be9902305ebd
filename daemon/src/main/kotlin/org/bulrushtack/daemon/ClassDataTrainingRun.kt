// The build starts this file by its class name RehearsalKt.
@file:JvmName("RehearsalKt")

package org.bulrushtack.daemon

import org.bulrushtack.daemon.settings.DaemonSettings
import org.bulrushtack.daemon.settings.SettingsFile
import org.bulrushtack.forward.lifecycle.ForwardingDaemon
import org.bulrushtack.platform.PlatformAdapter
import sun.misc.Signal
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread

/**
 * Runs the start-up path of the daemon for the class-data archive: starts two forwarding daemons that are peers of each
 * other and stops them after a short time, so that the build can record which classes a daemon loads. Each daemon is
 * configured with the address of its own HTTP listener as that of the platform's store.
 */
fun main() {
    val ports = freePorts()
    val file = settingsFile(host = "127.0.0.1", peer = "127.0.0.2", ports = ports)
    val other = settingsFile(host = "127.0.0.2", peer = "127.0.0.1", ports = ports)
    SettingsFile(other).read().onRight { settings ->
        if (settings is DaemonSettings.Forwarding) {
            ForwardingDaemon(settings.settings, PlatformAdapter(), incarnation = "rehearsal", seed = 0).start()
        }
    }
    thread(isDaemon = true) {
        Thread.sleep(RUN_MILLIS)
        Signal.raise(Signal("TERM"))
    }
    main(arrayOf("$file"))
}

private fun freePorts(): List<Int> {
    val sockets = List(PORTS_PER_DAEMON) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    return sockets.map { socket -> socket.use { it.localPort } }
}

private fun settingsFile(host: String, peer: String, ports: List<Int>): Path {
    val keys = listOf("listen", "readiness", "directory", "metrics")
    val lines = listOf("[daemon]", "name = rehearsal", "data-centre = a", "grace-seconds = 1", "[forward]") +
        keys.mapIndexed { index, key -> "$key = $host:${ports[index]}" } +
        listOf("[peers]", "listen = $host:${ports.last()}", "seeds = $peer") +
        listOf("[store]", "address = $host:${ports.first()}")
    val file = Files.createTempFile("rehearsal", ".ini")
    file.toFile().deleteOnExit()
    return Files.write(file, lines)
}

private const val PORTS_PER_DAEMON = 5

/** Long enough for several rounds of every periodic task of a daemon. */
private const val RUN_MILLIS = 2_500L
