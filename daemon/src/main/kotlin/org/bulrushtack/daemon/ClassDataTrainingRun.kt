// The build starts this file by its class name RehearsalKt.
@file:JvmName("RehearsalKt")

package org.bulrushtack.daemon

import org.bulrushtack.daemon.settings.DaemonSettings
import org.bulrushtack.daemon.settings.SettingsFile
import org.bulrushtack.forward.lifecycle.ForwardingDaemon
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.FreePorts
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpLimits
import org.bulrushtack.http.HttpServer
import org.bulrushtack.platform.PlatformAdapter
import org.bulrushtack.platform.training.TrainingPlatform
import org.bulrushtack.platform.training.TrainingRequests
import sun.misc.Signal
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread

/**
 * Runs what a daemon does for the class-data archive: two forwarding daemons that are peers of each other serve a few
 * requests of each kind and stop, so that the build can record which classes a daemon loads.
 */
fun main() {
    val ports = FreePorts.find(PORTS_PER_DAEMON)
    val platformAddress = startPlatform()
    val file = settingsFile(host = "127.0.0.1", peer = "127.0.0.2", ports = ports, platform = platformAddress)
    val other = settingsFile(host = "127.0.0.2", peer = "127.0.0.1", ports = ports, platform = platformAddress)
    SettingsFile(other).read().onRight { settings ->
        if (settings is DaemonSettings.Forwarding) {
            ForwardingDaemon(settings.settings, PlatformAdapter(), incarnation = "training", seed = 0).start()
        }
    }
    thread(isDaemon = true) {
        sendRequests(frontPort = ports.first())
        Signal.raise(Signal("TERM"))
    }
    main(arrayOf("$file"))
}

private fun startPlatform(): String {
    val port = FreePorts.find(count = 1).single()
    val address = "127.0.0.1:$port"
    val limits = HttpLimits()
    val group = EventLoops.create(threads = 1)
    HttpServer.start(group, "127.0.0.1", port, limits = { limits }, handler = TrainingPlatform(address))
    return address
}

private fun sendRequests(frontPort: Int) {
    val client = HttpClient(EventLoops.create(threads = 1))
    repeat(ROUNDS) { round ->
        Thread.sleep(ROUND_MILLIS)
        listOf("127.0.0.1:$frontPort", "127.0.0.2:$frontPort")
            .flatMap { TrainingRequests.create(address = it, round = round) }
            .map { client.exchange(it) }
            .forEach { it.join() }
    }
}

private fun settingsFile(host: String, peer: String, ports: List<Int>, platform: String): Path {
    val keys = listOf("listen", "readiness", "directory", "metrics")
    val name = "training-${host.substringAfterLast('.')}"
    val lines = listOf("[daemon]", "name = $name", "data-centre = a", "grace-seconds = 1", "[forward]") +
        keys.mapIndexed { index, key -> "$key = $host:${ports[index]}" } +
        listOf("[peers]", "listen = $host:${ports.last()}", "seeds = $peer") +
        listOf("[store]", "address = $platform")
    val file = Files.createTempFile("training", ".ini")
    file.toFile().deleteOnExit()
    return Files.write(file, lines)
}

private const val PORTS_PER_DAEMON = 5

/** Enough rounds that daemons have read the store, know each other and have run each periodic task. */
private const val ROUNDS = 4
private const val ROUND_MILLIS = 700L
